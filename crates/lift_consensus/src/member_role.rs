//! Part of a member in decisions.

/// Whether a member counts towards the quorum.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum MemberRole {
    /// Votes, and counts towards the quorum.
    Voter,
    /// Receives the log only. A new member is a learner until it has caught up and synced.
    Learner,
}
