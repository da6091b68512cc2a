//! Requests of callers over time.

use super::engine;

/// Milliseconds for which a load is played.
pub(crate) const LENGTH_MS: u64 = 20_000;

/// Rate of requests, as a share of what the engines bear.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    capacity_per_s: f64,
    base: f64,
    burst: f64,
    burst_ms: (u64, u64),
}

impl Load {
    /// A steady load.
    pub(crate) fn share_of_capacity(base: f64) -> Self {
        Self {
            capacity_per_s: engine::Engine::capacity_per_s(),
            base,
            burst: base,
            burst_ms: (0, 0),
        }
    }

    /// A load of `share` between two times.
    pub(crate) fn with_burst(mut self, share: f64, from_ms: u64, to_ms: u64) -> Self {
        self.burst = share;
        self.burst_ms = (from_ms, to_ms);
        self
    }

    /// Requests per millisecond for `engines` engines.
    pub(crate) fn rate(&self, now_ms: u64, engines: usize) -> f64 {
        let (from_ms, to_ms) = self.burst_ms;
        let share = match (from_ms..to_ms).contains(&now_ms) {
            true => self.burst,
            false => self.base,
        };
        share * self.capacity_per_s * engines as f64 / 1_000.0
    }
}
