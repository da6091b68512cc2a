//! Swarm view of a single agent.

use crate::{home_table, swarm_peer, swarm_view};

/// Computes the view of the agent at `location`, given the live agents `peers`. A caller that
/// serves views to many agents should keep a [`home_table::HomeTable`] instead.
pub fn compute_view(
    location: &lift_types::Location,
    peers: &[swarm_peer::SwarmPeer],
    goal: lift_types::TransferGoal,
) -> swarm_view::SwarmView {
    home_table::HomeTable::new(peers.to_vec(), goal).view(location)
}
