//! Limits of a download.

use std::time;

/// Limits of a [`crate::Download`]. Each has a default and a setter.
#[derive(Clone, Debug)]
pub struct DownloadConfig {
    /// Maximum number of requests in flight to agents. With fewer than about six on average
    /// per uploader, some uploaders have an empty queue while others have a long one.
    pub(crate) window: usize,
    /// Maximum number of requests in flight to one agent.
    pub(crate) per_peer: usize,
    /// Maximum number of requests in flight to the origin.
    pub(crate) origin_window: usize,
    /// Rate in bytes per second at which the fleet reads the origin, `None` if unknown.
    pub(crate) origin_rate: Option<u64>,
    /// Minimum timeout of a request; the timeout grows with the measured response times.
    pub(crate) min_timeout: time::Duration,
    /// Timeout of a request before any response time is known.
    pub(crate) first_timeout: time::Duration,
    /// Time after which the groups of a lost upstream are read from the origin. An upstream is
    /// lost while it is not connected or has not announced its chunks.
    pub(crate) upstream_timeout: time::Duration,
}

impl DownloadConfig {
    /// Sets the maximum number of requests in flight to all agents and to one agent. Zero
    /// counts as one.
    pub fn window(mut self, total: usize, per_peer: usize) -> Self {
        self.window = total.max(1);
        self.per_peer = per_peer.max(1);
        self
    }

    /// Sets the maximum number of requests in flight to the origin. Zero counts as one.
    pub fn origin_window(mut self, total: usize) -> Self {
        self.origin_window = total.max(1);
        self
    }

    /// Sets the rate in bytes per second at which the entire fleet reads the origin. The reads
    /// of the home hosts are then scheduled at this rate, so that each chunk arrives soon after
    /// its scheduled time. Without a schedule all first reads share the origin link and all of
    /// them finish late.
    pub fn origin_rate(mut self, bytes_per_second: u64) -> Self {
        self.origin_rate = Some(bytes_per_second.max(1));
        self
    }

    /// Sets the timeout of requests before any response time is known, and the minimum timeout
    /// afterwards.
    pub fn timeouts(mut self, first: time::Duration, min: time::Duration) -> Self {
        self.first_timeout = first;
        self.min_timeout = min;
        self
    }

    /// Sets the time after which the origin replaces a lost upstream.
    pub fn upstream_timeout(mut self, timeout: time::Duration) -> Self {
        self.upstream_timeout = timeout;
        self
    }
}

impl Default for DownloadConfig {
    fn default() -> Self {
        Self {
            window: 8,
            per_peer: 2,
            origin_window: 2,
            origin_rate: None,
            min_timeout: time::Duration::from_millis(500),
            first_timeout: time::Duration::from_secs(5),
            upstream_timeout: time::Duration::from_secs(3),
        }
    }
}
