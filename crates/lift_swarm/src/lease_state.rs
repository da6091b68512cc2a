//! State of the lease of an agent.

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
    /// Control has renewed the lease. The state stays the same when the lease expires or a
    /// renewal fails.
    Held,
    /// A later incarnation of the host is registered. This one serves nothing.
    Replaced,
}
