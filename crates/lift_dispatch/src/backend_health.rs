//! Recent failures and latency of one backend server.

use std::time;

/// Weight of the newest attempt in the moving failure rate, which thereby covers about the
/// last ten attempts.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// Time for which a backend server is avoided after it was first unreachable. The time doubles
/// with each further failure to reach it.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(500);

/// Longest time for which a backend server is avoided. Backend servers restart within seconds,
/// and while all of them are avoided they still get requests.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(4);

/// Weight of the newest answer in the moving average of the head latency, the time from sending
/// a request to the head of its answer.
const HEAD_LATENCY_WEIGHT: f64 = 0.2;

/// Time in which the average head latency decays by half. A slow backend server gets few
/// requests, so without the decay its recovery would go unnoticed.
const HEAD_LATENCY_HALF_LIFE: time::Duration = time::Duration::from_secs(2);

/// Failure rate, backoff and head latency of a backend server, from recent attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendHealth {
    failure_rate: f64,
    consecutive_unreachable: u32,
    avoid_until: Option<time::Instant>,
    /// Average head latency in seconds, and when it was last updated.
    head_latency: Option<(f64, time::Instant)>,
}

impl BackendHealth {
    /// Records a successful answer, which ends the backoff.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
        self.consecutive_unreachable = 0;
        self.avoid_until = None;
    }

    /// Records the time from sending a request to the head of its answer, or the time waited
    /// so far if there is none yet.
    pub fn record_head_latency(&mut self, now: time::Instant, took: time::Duration) {
        let newest = took.as_secs_f64();
        let mean = self.head_latency_s(now).unwrap_or(newest);
        self.head_latency = Some((mean + (newest - mean) * HEAD_LATENCY_WEIGHT, now));
    }

    /// Average time to the head of an answer at `now`, in seconds. Decays while no answers
    /// arrive.
    pub fn head_latency_s(&self, now: time::Instant) -> Option<f64> {
        let (mean, at) = self.head_latency?;
        let age = now.saturating_duration_since(at).as_secs_f64();
        Some(mean * 0.5_f64.powf(age / HEAD_LATENCY_HALF_LIFE.as_secs_f64()))
    }

    /// Records an attempt that reached the backend server but was refused or failed.
    pub fn record_failure(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
    }

    /// Records that the backend server could not be reached, did not send its complete answer or
    /// its next event before the timeout, or was replaced by another one at its address. Starts
    /// or extends the backoff.
    pub fn record_unreachable(&mut self, now: time::Instant) {
        self.record_failure();
        let backoff = INITIAL_BACKOFF * (1 << self.consecutive_unreachable.min(8));
        self.consecutive_unreachable += 1;
        self.avoid_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Share of recent attempts that failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether the backoff is still in effect at `now`.
    pub fn is_avoided(&self, now: time::Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }
}
