//! How a request of a caller ended.

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// With a whole answer of a backend server.
    Answered,
    /// With an answer of a gateway.
    Declined(http::StatusCode),
    /// Without a whole answer.
    Cut,
}
