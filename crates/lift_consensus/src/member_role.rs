//! Voting role of a member.

/// Whether a member counts towards the quorum.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum MemberRole {
    /// Votes and counts towards the quorum.
    Voter,
    /// Only receives the log. A new member stays a learner until it has synced all committed
    /// entries and is promoted.
    Learner,
}
