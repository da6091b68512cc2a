//! View of the swarm for one agent.

use crate::{home_group, swarm_peer};

/// Neighbours and home groups of one agent for one version. Its size does not depend on the
/// number of hosts: at most [`crate::MAX_NEIGHBOURS`] neighbours and 256 home groups.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SwarmView {
    /// Whether the transfer minimizes reads from the origin or elapsed time.
    pub goal: lift_types::TransferGoal,
    /// Agents in the same region to exchange chunks with.
    pub neighbours: Vec<swarm_peer::SwarmPeer>,
    /// Key groups for which this agent is the home host in its region.
    pub home_groups: Vec<home_group::HomeGroup>,
}
