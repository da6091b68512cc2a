//! Whether a process takes new work.

/// Readiness of a process for new work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Readiness {
    /// New work may be sent.
    Ready,
    /// No new work may be sent: the process starts, stops, or can't confirm its
    /// configuration.
    NotReady,
}
