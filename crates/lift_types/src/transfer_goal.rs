//! Optimization goal of a transfer of weights.

/// Whether a transfer minimizes the time until a given number of replicas hold the weights,
/// or the number of bytes read from the origin.
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
    /// Finish as early as possible; each region may read from the origin.
    #[default]
    Time,
    /// Read each chunk from the origin once, and send it to each region once.
    Origin,
}
