//! Flap damping of one host.

use std::time;

/// Time in which the penalty of a host halves.
const HALF_LIFE: time::Duration = time::Duration::from_secs(30);

/// Penalty above which a host is damped. Three failures within 12 s always exceed it; spread
/// over 30 s or more, they never do.
const DAMPING_THRESHOLD: f64 = 2.5;

/// Penalty below which a host is no longer damped.
const RELEASE_THRESHOLD: f64 = 1.0;

/// Penalty of a host. It grows by one with each failure and decays exponentially.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlapRecord {
    penalty: f64,
    decayed_at: time::Instant,
    damped: bool,
}

impl FlapRecord {
    pub(crate) fn new(now: time::Instant) -> Self {
        Self {
            penalty: 0.0,
            decayed_at: now,
            damped: false,
        }
    }

    pub(crate) fn record_failure(&mut self, now: time::Instant) {
        self.decay(now);
        self.penalty += 1.0;
        self.damped |= self.penalty > DAMPING_THRESHOLD;
    }

    pub(crate) fn is_damped(&mut self, now: time::Instant) -> bool {
        self.decay(now);
        self.damped &= self.penalty >= RELEASE_THRESHOLD;
        self.damped
    }

    /// Whether the host is not damped and its penalty is too small to matter, so that the
    /// record can be dropped.
    pub(crate) fn is_negligible(&mut self, now: time::Instant) -> bool {
        !self.is_damped(now) && self.penalty < 0.1
    }

    fn decay(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at);
        self.penalty *= 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.decayed_at = now;
    }
}
