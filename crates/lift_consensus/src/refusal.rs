//! Why an event was refused.

/// Reason why commands or a change of members were not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, thiserror::Error)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// This member does not lead, or hands the lead over.
    NotLeader,
    /// An earlier change of members is not committed yet, or the leader has not committed
    /// an entry of its own term.
    ChangePending,
    /// The identifier was used before. It stays bound to the disk that had it.
    IdUsed,
    /// There is no such member.
    NoSuchMember,
    /// The learner has not synced all committed entries yet.
    NotCaughtUp,
    /// The change would leave no voter.
    LastVoter,
}

impl Refusal {
    /// Whether a change that has taken effect already is refused in this way.
    pub fn may_be_repeat(self) -> bool {
        matches!(self, Self::IdUsed | Self::NoSuchMember)
    }
}
