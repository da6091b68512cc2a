//! State of a lease.

/// State of the lease of an incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LeaseState {
    /// Control has not granted a lease yet.
    #[default]
    Waiting,
    /// The lease was renewed.
    Held,
    /// A later incarnation is registered; this one serves nothing.
    Replaced,
}
