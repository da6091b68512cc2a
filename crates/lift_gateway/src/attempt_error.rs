//! Why an attempt gave no answer.

/// Reason why an attempt gave no answer that can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// The request was not sent to any backend server.
    Rejected(lift_dispatch::RejectionReason),
    /// The request was sent, or sending it failed.
    Failed(lift_dispatch::AttemptFailure),
}
