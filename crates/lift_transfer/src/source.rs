//! Source of a chunk.

/// Source that a chunk is requested from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The origin of weights, or the weight store in front of it.
    Origin,
    /// The agent on this host.
    Peer(lift_types::HostId),
}
