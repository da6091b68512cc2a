//! Kind of the backend server beside an agent.

/// Whether the backend server of an agent loads weights.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
    strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum BackendKind {
    /// A model engine. The agent fetches weights for it and sends it orders.
    Model,
    /// An ordinary service without weights.
    Plain,
}
