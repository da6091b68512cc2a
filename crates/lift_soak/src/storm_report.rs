//! What a retry storm has shown.

use crate::retry_window;

/// Result of one retry storm.
#[derive(Clone, Debug)]
pub struct StormReport {
    /// Requests that have arrived at a backend server.
    pub arrived: u64,
    /// Requests that were answered with success.
    pub served: u64,
    /// Restarts of processes.
    pub restarts: u64,
    /// The window in which the largest part of the allowed repeats was used. `None` without any
    /// repeat.
    pub worst_window: Option<retry_window::RetryWindow>,
}
