//! Where a home host reads a key group from.

use crate::swarm_peer;

/// Source of the first copy of a key group in a region.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Upstream {
    /// The origin of weights.
    Origin,
    /// The home host of the group in another region, which has the first copy.
    Peer(swarm_peer::SwarmPeer),
}
