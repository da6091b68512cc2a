//! State of a backend server.

/// Whether a backend server accepts new requests.
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
    /// It accepts requests.
    Ready,
    /// It finishes the requests that it has and accepts no new ones.
    Draining,
    /// It has deregistered, or a newer backend server has its address. It may still finish
    /// requests for a while.
    Gone,
}
