//! Why there is no answer of an attempt.

/// End of an attempt without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    /// No attempt could be made.
    Declined(lift_dispatch::RejectionReason),
    /// The attempt failed.
    Attempt(lift_dispatch::AttemptFailure),
}
