//! Assignment for a single agent.

use crate::{home_table, swarm_peer, swarm_view};

/// View of the agent at `place` among the live agents `peers`. A caller that answers many
/// agents keeps a [`home_table::HomeTable`] instead.
pub fn assign(
    place: &lift_types::Place,
    peers: &[swarm_peer::SwarmPeer],
    goal: lift_types::TransferGoal,
) -> swarm_view::SwarmView {
    home_table::HomeTable::new(peers.to_vec(), goal).view(place)
}
