//! Limits on callers.

use std::time;

/// Limits on the requests and idle connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request must arrive.
    pub head_timeout: time::Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: time::Duration,
}

impl Default for CallerLimits {
    /// Returns the defaults of common HTTP servers, for documents that set no limits.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: time::Duration::from_secs(5),
            idle_timeout: time::Duration::from_secs(30),
        }
    }
}
