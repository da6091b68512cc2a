//! What callers may send.

use std::time;

/// Bounds on the requests of callers and on idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time in which a head must arrive.
    pub head_timeout: time::Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: time::Duration,
}

impl Default for CallerLimits {
    /// Limits for documents that set none: those of common HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: time::Duration::from_secs(5),
            idle_timeout: time::Duration::from_secs(30),
        }
    }
}
