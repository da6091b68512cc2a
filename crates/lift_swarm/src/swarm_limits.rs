//! Limits and intervals of the weight distribution at one agent.

use std::time;

/// Limits and intervals. Each has a default and a method that changes it.
#[derive(Clone, Debug)]
pub struct SwarmLimits {
    /// Limits of a download.
    pub(crate) download: lift_transfer::DownloadConfig,
    /// Rate of chunk uploads in bytes per second, `None` for no limit.
    pub(crate) upload_rate: Option<u64>,
    /// Maximum number of uploads in progress.
    pub(crate) upload_slots: usize,
    /// Maximum number of queued upload requests.
    pub(crate) upload_queue: usize,
    /// Number of versions kept on disk in addition to one in use, so that a return to one of
    /// them needs no transfer. Versions in use are never removed.
    pub(crate) kept_versions: usize,
    /// Maximum duration of a load order. Leases and grants must outlast it.
    pub(crate) order_limit: time::Duration,
    /// Maximum wait for requests in progress. If some remain then, the switch is abandoned and
    /// retried later.
    pub(crate) drain_limit: time::Duration,
    /// Pause after a drain that does not lead to a load order, and after a failed load.
    pub(crate) engine_retry: time::Duration,
    /// Pause between requests for the state of the engine.
    pub(crate) engine_poll: time::Duration,
    /// Pause between requests for the view of the swarm during a transfer.
    pub(crate) view_interval: time::Duration,
}

impl SwarmLimits {
    /// Sets the limits of a download.
    pub fn download(mut self, cfg: lift_transfer::DownloadConfig) -> Self {
        self.download = cfg;
        self
    }

    /// Limits chunk uploads to this rate in bytes per second. The rate is lowered while live
    /// requests are in progress.
    pub fn upload_rate(mut self, bytes_per_second: u64) -> Self {
        self.upload_rate = Some(bytes_per_second);
        self
    }

    /// Sets the maximum numbers of uploads in progress and of queued requests; zero counts as
    /// one.
    pub fn uploads(mut self, slots: usize, queue: usize) -> Self {
        self.upload_slots = slots.max(1);
        self.upload_queue = queue.max(1);
        self
    }

    /// Sets how many versions are kept on disk in addition to one in use.
    pub fn kept_versions(mut self, count: usize) -> Self {
        self.kept_versions = count;
        self
    }

    /// Sets the maximum durations of a load order and of the drain before it.
    pub fn activation(mut self, order: time::Duration, drain: time::Duration) -> Self {
        self.order_limit = order;
        self.drain_limit = drain;
        self
    }

    /// Sets the pause between requests for the state of the engine, and the pause after a
    /// failed drain or load.
    pub fn engine(mut self, poll: time::Duration, retry: time::Duration) -> Self {
        self.engine_poll = poll;
        self.engine_retry = retry;
        self
    }

    /// Sets the pause between requests for the view of the swarm.
    pub fn view_interval(mut self, interval: time::Duration) -> Self {
        self.view_interval = interval;
        self
    }
}

impl Default for SwarmLimits {
    fn default() -> Self {
        Self {
            download: lift_transfer::DownloadConfig::default(),
            upload_rate: None,
            upload_slots: 2,
            upload_queue: 4,
            kept_versions: 2,
            order_limit: lift_types::DEFAULT_LEASE / 2,
            drain_limit: time::Duration::from_secs(30),
            engine_retry: time::Duration::from_secs(1),
            engine_poll: time::Duration::from_secs(1),
            view_interval: time::Duration::from_secs(1),
        }
    }
}
