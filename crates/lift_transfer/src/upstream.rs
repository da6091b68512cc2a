//! Source from which a home host reads a key group.

use crate::swarm_peer;

/// Source of the first copy of a key group in a region.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Upstream {
    /// The origin of weights.
    Origin,
    /// The home host of the group in its home region, which reads it from the origin.
    Peer(swarm_peer::SwarmPeer),
}
