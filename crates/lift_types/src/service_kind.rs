//! Kind of a service.

/// Whether a service is backed by model weights.
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
pub enum ServiceKind {
    /// A service of model replicas. Each answer is computed with a single version of the weights.
    Model,
    /// A plain service beside the model engines, without a version.
    #[default]
    Plain,
}
