//! Reason for a refusal.

/// Reason why commands or a member change were not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, thiserror::Error)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// This member is not the leader, or is transferring leadership.
    NotLeader,
    /// An earlier member change is not committed yet, or the leader has not committed
    /// an entry of its own term.
    ChangePending,
    /// The identifier was used before and stays bound to the disk that used it.
    IdUsed,
    /// There is no such member.
    NoSuchMember,
    /// The learner has not synced all committed entries yet.
    NotCaughtUp,
    /// The change would leave no voter.
    LastVoter,
}

impl Refusal {
    /// Returns whether a retry of `AddLearner` or `Remove` is refused for this reason if the
    /// change has already taken effect.
    pub fn is_possible_retry(self) -> bool {
        matches!(self, Self::IdUsed | Self::NoSuchMember)
    }
}
