//! Latency of the requests of a service, and how many of them may wait at a server.

use std::time;

/// Weight of the newest request in the moving averages.
const NEWEST_WEIGHT: f64 = 0.02;

/// Assumed time to the first event, as a multiple of the average one. It leaves room for longer
/// prompts and for other prompts that are read before.
const FIRST_EVENT_MARGIN: f64 = 1.3;

/// Length of the queue before the first request of the service has succeeded, as a share of the
/// slots.
const INITIAL_QUEUE_SHARE: f64 = 0.15;

/// Longest queue, as a share of the slots. Backend servers queue about two to four times as many
/// requests as they have slots and reject any more.
const MAX_QUEUE_SHARE: f64 = 2.0;

/// Moving averages over the requests of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLatency {
    duration_s: Option<f64>,
    first_event_s: Option<f64>,
}

impl ServiceLatency {
    /// Records the duration of a request that succeeded.
    pub fn record_duration(&mut self, duration: time::Duration) {
        update(&mut self.duration_s, duration);
    }

    /// Records the time from the arrival of a request to the first event of its answer.
    pub fn record_first_event(&mut self, latency: time::Duration) {
        update(&mut self.first_event_s, latency);
    }

    /// Average duration of a request. Zero before the first one has succeeded.
    pub fn mean_duration(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.duration_s.unwrap_or_default())
    }

    /// Requests that a backend server may have in addition to those in its slots, as a share of
    /// its slots, so that a request that is sent now meets the target latency `target`.
    ///
    /// A queue keeps a server busy between two load reports, but a request that waits in it for
    /// longer than its first event leaves time for takes the slot from one that would be in time.
    /// As soon as first events come late on average there is no queue.
    pub fn queue_share(&self, target: time::Duration) -> f64 {
        let Some(duration_s) = self.duration_s.filter(|mean| *mean > 0.0) else {
            return INITIAL_QUEUE_SHARE;
        };
        // An answer without events counts as a single one.
        let first_event_s = self.first_event_s.unwrap_or(duration_s);
        let wait_s = target.as_secs_f64() - FIRST_EVENT_MARGIN * first_event_s;
        (wait_s / duration_s).clamp(0.0, MAX_QUEUE_SHARE)
    }
}

fn update(mean: &mut Option<f64>, newest: time::Duration) {
    let newest = newest.as_secs_f64();
    let known = mean.unwrap_or(newest);
    *mean = Some(known + (newest - known) * NEWEST_WEIGHT);
}
