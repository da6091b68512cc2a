//! What a transfer of weights saves.

/// Weighs the time to N replicas against bytes read from the origin.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TransferGoal {
    /// Finish soon; each region may read the origin.
    #[default]
    Time,
    /// Read each chunk once from the origin, and send it into each region once.
    Origin,
}
