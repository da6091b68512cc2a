//! Why no backend server was selected.

/// Reason why no backend server can get a request now.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum SelectionError {
    /// The service has no backend server.
    NoBackend,
    /// No backend server has the weights that the request needs.
    NoWeights,
    /// All backend servers that could run the request are full.
    Full,
    /// The request has been sent to all backend servers already.
    Tried,
}
