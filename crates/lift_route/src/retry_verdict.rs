//! What follows from the end of an attempt.

use std::time;

/// Verdict on a request whose attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryVerdict {
    /// Send the request to another host after a pause.
    Retry {
        /// Reason under which it is counted.
        reason: lift_types::RetryReason,
        /// Pause.
        after: time::Duration,
    },
    /// Tell the caller that there is no answer.
    GiveUp {
        /// Why.
        reason: lift_types::RefusalReason,
    },
}
