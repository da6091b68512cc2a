//! Kind of a service.

/// Whether a service answers from weights.
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
    /// Model replicas: each answer comes from one version of the weights.
    Model,
    /// A plain service beside the model engines, without a version.
    #[default]
    Plain,
}
