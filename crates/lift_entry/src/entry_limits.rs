//! Limits of an entry.

use std::time;

/// Limits on the resources that callers can use, and times of requests.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Maximum number of requests in progress. Further requests wait in the fair queue.
    pub max_in_progress: usize,
    /// Maximum number of connections of callers. Further ones wait to be accepted.
    pub max_connections: usize,
    /// Maximum size of the body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of the head of a request, in bytes. Must be at least 8,192, the minimum of
    /// `hyper`.
    pub max_head_bytes: usize,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Maximum time to read the head of a request, and again to read its body.
    pub read_timeout: time::Duration,
    /// Maximum time for which sent bytes of a reply may stay unacknowledged by the caller.
    pub write_timeout: time::Duration,
    /// Time until the deadline of a request whose caller gives none.
    pub default_deadline: time::Duration,
    /// Maximum time until the deadline of a request.
    pub max_deadline: time::Duration,
    /// Minimum time for which a stopping entry refuses new requests with a reason before it
    /// closes its port, so that load balancers can detect it. A shorter limit of the stop applies.
    pub drain_notice: time::Duration,
    /// Time after which an idempotent request may be hedged if its answer has not started.
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
