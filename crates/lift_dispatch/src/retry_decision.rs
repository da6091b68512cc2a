//! Whether to retry a request.

/// What to do with a request after one of its attempts has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another backend server.
    Retry,
    /// Reply to the caller with a rejection, or forward the backend server's error.
    GiveUp,
}
