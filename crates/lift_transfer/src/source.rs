//! Where a chunk is requested from.

/// Source of one chunk request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The origin of weights, or the weight store in front of it.
    Origin,
    /// An agent.
    Peer(lift_types::HostId),
}
