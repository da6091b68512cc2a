//! Duration of the requests of a service.

use std::time;

/// Weight of the newest request in the moving average.
const NEWEST_WEIGHT: f64 = 0.02;

/// Share of the target latency that a request may spend in the queue of a backend server. The
/// rest is for reading its prompt and the prompts that are read before it.
const QUEUE_TIME_SHARE: f64 = 0.45;

/// Length of the queue before the first request of the service has succeeded, as a share of the
/// slots.
const INITIAL_QUEUE_SHARE: f64 = 0.15;

/// Longest queue, as a share of the slots. Backend servers queue about two to four times as many
/// requests as they have slots and reject any more.
const MAX_QUEUE_SHARE: f64 = 2.0;

/// Moving average of the duration of one service's requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceLatency {
    mean_s: Option<f64>,
}

impl ServiceLatency {
    /// Records the duration of a request that succeeded.
    pub(crate) fn record(&mut self, duration: time::Duration) {
        let newest = duration.as_secs_f64();
        let mean = self.mean_s.unwrap_or(newest);
        self.mean_s = Some(mean + (newest - mean) * NEWEST_WEIGHT);
    }

    /// Requests that a backend server may have in addition to those in its slots, as a share of
    /// its slots, so that a request that is sent now starts early enough to meet the target
    /// latency `target`.
    pub(crate) fn queue_share(&self, target: time::Duration) -> f64 {
        let Some(mean) = self.mean_s.filter(|mean| *mean > 0.0) else {
            return INITIAL_QUEUE_SHARE;
        };
        let share = target.as_secs_f64() * QUEUE_TIME_SHARE / mean;
        share.min(MAX_QUEUE_SHARE)
    }
}
