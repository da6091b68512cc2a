//! What a connection is for.

/// Kind of traffic on a connection, named in the handshake so that a wrong address in
/// the settings is found at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Purpose {
    /// Replicated log between control members.
    ControlPeer,
    /// Control operations, from an entry to control or from an agent to an entry.
    ControlClient,
    /// Chunks between agents.
    Chunks,
    /// Requests from an entry to an agent.
    Calls,
    /// State of the fleet, from control members to nodes.
    Feed,
    /// Pieces of weights between agents.
    Pieces,
}

impl std::fmt::Display for Purpose {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::ControlPeer => "the replicated log",
            Self::ControlClient => "control operations",
            Self::Chunks => "chunks",
            Self::Calls => "requests",
            Self::Feed => "the state of the fleet",
            Self::Pieces => "pieces of weights",
        })
    }
}
