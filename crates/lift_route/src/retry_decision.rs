//! Decision on a retry.

use std::time;

/// Whether a request is retried after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request again after a pause, preferably to another host.
    Retry {
        /// Reason under which the retry is counted.
        reason: lift_types::RetryReason,
        /// Pause before the retry.
        backoff: time::Duration,
    },
    /// Report to the caller that there is no answer.
    GiveUp {
        /// Reason reported to the caller.
        reason: lift_types::RefusalReason,
    },
}
