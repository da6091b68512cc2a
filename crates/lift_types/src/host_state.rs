//! State of an agent.

/// Whether an agent accepts new work for its backend server.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostState {
    /// The agent accepts new work if it serves a version or a plain service.
    #[default]
    Up,
    /// The agent refuses new work and completes what is in progress.
    Leaving,
}
