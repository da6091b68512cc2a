//! How long requests of a service take.

use std::time;

/// Weight of the newest request in the mean.
const NEWEST: f64 = 0.02;

/// Share of the wanted latency that a request may spend in the queue of a backend server. The
/// rest is for reading its prompt and for the requests that are read before it.
const QUEUE_SHARE_OF_TARGET: f64 = 0.45;

/// Places over the slots before any request has ended, as a share of the slots.
const FIRST_QUEUE_SHARE: f64 = 0.15;

/// Longest queue, as a share of the slots. Backend servers queue about two to four times
/// their slots and refuse what comes beyond.
const MAX_QUEUE_SHARE: f64 = 2.0;

/// Mean duration of the requests of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServicePace {
    mean_s: Option<f64>,
}

impl ServicePace {
    /// Takes in a request that ended well.
    pub(crate) fn add(&mut self, duration: time::Duration) {
        let newest = duration.as_secs_f64();
        let mean = self.mean_s.unwrap_or(newest);
        self.mean_s = Some(mean + (newest - mean) * NEWEST);
    }

    /// Requests over its slots that a backend server may have, as a share of its slots, so
    /// that one that is sent now begins soon enough for `target`.
    pub(crate) fn queue_share(&self, target: time::Duration) -> f64 {
        let Some(mean) = self.mean_s.filter(|mean| *mean > 0.0) else {
            return FIRST_QUEUE_SHARE;
        };
        let share = target.as_secs_f64() * QUEUE_SHARE_OF_TARGET / mean;
        share.min(MAX_QUEUE_SHARE)
    }
}
