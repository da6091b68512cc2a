//! Failures of one host.

use std::time;

/// Time in which the penalty of a host halves.
const HALF_LIFE: time::Duration = time::Duration::from_secs(30);

/// Penalty from which a host is damped: three failures within about half a minute.
const DAMP_ABOVE: f64 = 2.5;

/// Penalty below which a damped host gets work again.
const RELEASE_BELOW: f64 = 1.0;

/// Penalty that grows by one with each failure and decays.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlapRecord {
    penalty: f64,
    at: time::Instant,
    damped: bool,
}

impl FlapRecord {
    pub(crate) fn new(now: time::Instant) -> Self {
        Self {
            penalty: 0.0,
            at: now,
            damped: false,
        }
    }

    pub(crate) fn fail(&mut self, now: time::Instant) {
        self.decay(now);
        self.penalty += 1.0;
        self.damped |= self.penalty > DAMP_ABOVE;
    }

    pub(crate) fn is_damped(&mut self, now: time::Instant) -> bool {
        self.decay(now);
        self.damped &= self.penalty >= RELEASE_BELOW;
        self.damped
    }

    /// Whether the record can be dropped without effect.
    pub(crate) fn is_spent(&mut self, now: time::Instant) -> bool {
        !self.is_damped(now) && self.penalty < 0.1
    }

    fn decay(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.at);
        self.penalty *= 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.at = now;
    }
}
