//! State of a backend server.

/// Whether a backend server takes new requests, by its own word.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum BackendState {
    /// It takes requests.
    Ready,
    /// It completes what it has and takes nothing new.
    Draining,
    /// It has said that it is gone. It may go on serving for a while.
    Gone,
}
