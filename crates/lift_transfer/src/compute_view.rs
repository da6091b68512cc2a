//! Swarm view of a single agent.

use crate::{home_table, swarm_peer, swarm_view};

/// Computes the view of the agent at `place`, given the live agents `peers`. A caller that
/// serves views to many agents should keep a [`home_table::HomeTable`] instead.
pub fn compute_view(
    place: &lift_types::Place,
    peers: &[swarm_peer::SwarmPeer],
    goal: lift_types::TransferGoal,
) -> swarm_view::SwarmView {
    home_table::HomeTable::new(peers.to_vec(), goal).view(place)
}
