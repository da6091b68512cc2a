//! State of an agent.

/// Whether an agent takes new work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// It takes new work.
    Up,
    /// It ends its requests in progress and takes no new ones.
    Leaving,
    /// Its heartbeats are late.
    Suspect,
}
