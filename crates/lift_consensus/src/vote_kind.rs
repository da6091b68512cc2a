//! Kind of a vote request.

/// Reason why a candidate requests votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum VoteKind {
    /// Pre-vote. It changes no term, so that a member that can't win does not disrupt the
    /// leader.
    Pre,
    /// Vote after no message from a leader arrived during the election timeout and a pre-vote
    /// succeeded.
    Regular,
    /// Vote in a leadership transfer. The former leader has requested it and no longer holds a
    /// lease, so voters disregard the lease that they granted to it.
    Transfer,
}
