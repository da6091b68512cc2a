//! Steps of a journey.

/// Step of a change of the configuration.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum ConfigStep {
    /// The leader has received the change.
    ChangeReceived,
    /// The leader has synced the change.
    LeaderSynced,
    /// A follower has synced the change.
    FollowerSynced,
    /// The change is committed.
    Committed,
    /// The operator's program has the answer.
    Answered,
    /// A node has applied the new revision.
    Applied,
    /// All nodes have confirmed the new revision.
    Confirmed,
}
