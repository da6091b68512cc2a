//! Kind of a vote.

/// Why a vote is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum VoteKind {
    /// Asks without changing a term, so that a member that can't win disturbs nobody.
    Pre,
    /// Asks after the leader was not heard for the election timeout.
    Regular,
    /// Asks on request of the former leader, which holds no lease any more.
    Transfer,
}
