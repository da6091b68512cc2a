//! What a soak has shown.

use std::path;

use crate::fault;

/// Result of one soak.
#[derive(Debug)]
pub struct SoakReport {
    /// Faults that were injected, with their time in milliseconds since the first request.
    pub faults: Vec<(u64, fault::Fault)>,
    /// Requests that were answered with success.
    pub served: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests without a whole answer.
    pub failed: u64,
    /// Promises that were broken, in the order in which they were seen.
    pub violations: Vec<String>,
    /// Logs of the processes, kept where a promise was broken.
    pub logs: Option<path::PathBuf>,
}
