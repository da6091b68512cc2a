//! Limits of a download.

use std::time;

/// Limits of a [`crate::Download`]. Each has a default; change them by name.
#[derive(Clone, Debug)]
pub struct DownloadConfig {
    /// Most requests in progress. With fewer than about six on average for each uploader,
    /// some uploaders have an empty queue while others have a long one.
    pub(crate) window: usize,
    /// Most requests in progress to one agent.
    pub(crate) per_peer: usize,
    /// Most requests in progress to the origin.
    pub(crate) origin_window: usize,
    /// Rate in bytes per second at which the fleet reads the origin, `None` where unknown.
    pub(crate) origin_rate: Option<u64>,
    /// Shortest time-out of a request; the time-out grows with the measured response times.
    pub(crate) min_timeout: time::Duration,
    /// Time-out of a request before any response time is known.
    pub(crate) first_timeout: time::Duration,
    /// Time without a connection to an upstream after which its groups are read from the
    /// origin.
    pub(crate) upstream_timeout: time::Duration,
}

impl DownloadConfig {
    /// Sets the most requests in progress, and to one agent.
    pub fn window(mut self, total: usize, per_peer: usize) -> Self {
        self.window = total.max(1);
        self.per_peer = per_peer.max(1);
        self
    }

    /// Sets the most requests in progress to the origin.
    pub fn origin_window(mut self, total: usize) -> Self {
        self.origin_window = total.max(1);
        self
    }

    /// Sets the rate in bytes per second at which the fleet together reads the origin. Home
    /// hosts then take turns, so that each chunk arrives soon after its turn. Without turns
    /// all first reads share the origin link and all of them end late.
    pub fn origin_rate(mut self, bytes_per_second: u64) -> Self {
        self.origin_rate = Some(bytes_per_second.max(1));
        self
    }

    /// Sets the time-out of a request at the start and the shortest one later.
    pub fn timeouts(mut self, first: time::Duration, shortest: time::Duration) -> Self {
        self.first_timeout = first;
        self.min_timeout = shortest;
        self
    }

    /// Sets the time without a connection after which an upstream is replaced by the origin.
    pub fn upstream_timeout(mut self, timeout: time::Duration) -> Self {
        self.upstream_timeout = timeout;
        self
    }
}

impl Default for DownloadConfig {
    fn default() -> Self {
        Self {
            window: 10,
            per_peer: 2,
            origin_window: 2,
            origin_rate: None,
            min_timeout: time::Duration::from_millis(500),
            first_timeout: time::Duration::from_secs(5),
            upstream_timeout: time::Duration::from_secs(3),
        }
    }
}
