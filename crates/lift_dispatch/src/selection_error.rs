//! Why no backend server was selected.

/// Reason why no backend server can get a request now. [`Self::NoWeights`], [`Self::Full`] and
/// [`Self::Cold`] disregard the backend servers to which the request was sent before.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum SelectionError {
    /// The service has no backend server.
    NoBackend,
    /// The service has no backend server in a region in which the request may run.
    NoAllowedRegion,
    /// No backend server can run the request on the weights that it needs: each has other weights
    /// or is loading some.
    NoWeights,
    /// All backend servers that could run the request are full, have too many prompts to read, or
    /// are behind congested links.
    Full,
    /// All backend servers that could run the request are cold, and this gateway has sent them all
    /// the requests that it may send them within a second.
    Cold,
    /// The request has been sent to all backend servers already.
    Tried,
}
