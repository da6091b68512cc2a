//! Why an attempt gave no answer.

/// Reason why an attempt gave no answer that can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No attempt was made. Earlier attempts may have reached a backend server.
    Rejected(lift_dispatch::RejectionReason),
    /// The attempt failed, before or after the request was sent.
    Failed(lift_dispatch::AttemptFailure),
}
