//! Limits and times of the weight distribution at one agent.

use std::time;

/// Limits and times. Each has a default; change them by name.
#[derive(Clone, Debug)]
pub struct SwarmLimits {
    /// Limits of a download.
    pub(crate) download: lift_transfer::DownloadConfig,
    /// Rate of chunk uploads in bytes per second, `None` for no limit.
    pub(crate) upload_rate: Option<u64>,
    /// Uploads in progress at a time.
    pub(crate) upload_slots: usize,
    /// Upload requests that may wait.
    pub(crate) upload_queue: usize,
    /// Versions kept besides those in use, for a return without a transfer.
    pub(crate) kept_versions: usize,
    /// Longest time of a load order. Leases and grants must outlast it.
    pub(crate) order_limit: time::Duration,
    /// Longest wait for requests in progress before a switch is given up.
    pub(crate) drain_limit: time::Duration,
    /// Pause after the engine has refused an order.
    pub(crate) engine_retry: time::Duration,
    /// Interval of questions about the engine's state.
    pub(crate) engine_poll: time::Duration,
    /// Interval of requests for the view of the swarm during a transfer.
    pub(crate) view_interval: time::Duration,
}

impl SwarmLimits {
    /// Sets the limits of a download.
    pub fn download(mut self, cfg: lift_transfer::DownloadConfig) -> Self {
        self.download = cfg;
        self
    }

    /// Holds chunk uploads below this rate in bytes per second, and lower still while live
    /// requests are in progress.
    pub fn upload_rate(mut self, bytes_per_second: u64) -> Self {
        self.upload_rate = Some(bytes_per_second);
        self
    }

    /// Sets the number of uploads in progress and the number that may wait.
    pub fn uploads(mut self, slots: usize, queue: usize) -> Self {
        self.upload_slots = slots.max(1);
        self.upload_queue = queue.max(1);
        self
    }

    /// Sets how many versions are kept besides those in use.
    pub fn kept_versions(mut self, count: usize) -> Self {
        self.kept_versions = count;
        self
    }

    /// Sets the longest time of a load order and of the drain before it.
    pub fn activation(mut self, order: time::Duration, drain: time::Duration) -> Self {
        self.order_limit = order;
        self.drain_limit = drain;
        self
    }

    /// Sets the interval of questions to the engine and the pause after it has refused.
    pub fn engine(mut self, poll: time::Duration, retry: time::Duration) -> Self {
        self.engine_poll = poll;
        self.engine_retry = retry;
        self
    }

    /// Sets the interval of requests for the view of the swarm.
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
