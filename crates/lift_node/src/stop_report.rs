//! Result of a graceful stop.

use std::time;

/// What a graceful stop did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// Requests in progress that did not end in the grace time.
    pub cut_off: usize,
    /// Time that it took.
    pub took: time::Duration,
}
