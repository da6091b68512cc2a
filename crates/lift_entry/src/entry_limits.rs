//! Limits of an entry.

use std::time;

/// Bounds on what callers can make an entry hold.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Requests in progress; more wait in the fair queue.
    pub max_in_progress: usize,
    /// Connections of callers; more wait to be accepted.
    pub max_connections: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest head of a request, in bytes. At least 8,192.
    pub max_head_bytes: usize,
    /// Most headers of a request.
    pub max_headers: usize,
    /// Longest time to read the head of a request, and to read its body.
    pub read_timeout: time::Duration,
    /// Longest time that a caller may leave the bytes of its answer unacknowledged.
    pub write_timeout: time::Duration,
    /// Time of a request whose caller names none.
    pub default_deadline: time::Duration,
    /// Longest time of a request.
    pub max_deadline: time::Duration,
    /// Time for which a stopping entry refuses new work with a reason before it closes its
    /// port, so that the balancer learns of it.
    pub drain_notice: time::Duration,
    /// Time without the start of an answer after which an idempotent request is hedged.
    pub hedge_after: time::Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_in_progress: 4_096,
            max_connections: 10_000,
            max_body_bytes: 1024 * 1024,
            max_head_bytes: 32 * 1024,
            max_headers: 64,
            read_timeout: time::Duration::from_secs(10),
            write_timeout: time::Duration::from_secs(15),
            default_deadline: time::Duration::from_secs(30),
            max_deadline: time::Duration::from_secs(600),
            drain_notice: time::Duration::from_secs(1),
            hedge_after: time::Duration::from_secs(1),
        }
    }
}
