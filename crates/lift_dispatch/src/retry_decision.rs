//! Whether to retry a request.

/// What to do with a request whose attempt ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another backend server.
    Retry,
    /// Report to the caller that there is no answer, or forward the backend server's error.
    GiveUp,
}
