//! What an agent knows of the hosts that it exchanges chunks with.

use crate::{home_group, swarm_peer};

/// Neighbours and home groups of one agent for one version. Its size does not depend on
/// the number of hosts: at most 16 neighbours and 256 home groups.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SwarmView {
    /// What the transfer saves.
    pub goal: lift_types::TransferGoal,
    /// Agents to exchange chunks with.
    pub neighbours: Vec<swarm_peer::SwarmPeer>,
    /// Key groups that this agent reads first in its region.
    pub home_groups: Vec<home_group::HomeGroup>,
}
