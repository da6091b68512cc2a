//! Rate limit.

use std::time;

/// Token bucket that refills at the rate of the latest call, up to the burst of that call.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: time::Instant,
}

impl TokenBucket {
    /// Creates a full bucket with `burst` tokens, at least one.
    pub fn new(now: time::Instant, burst: u32) -> Self {
        Self {
            tokens: f64::from(burst.max(1)),
            refilled_at: now,
        }
    }

    /// Takes one token and returns whether one was available. Rate and burst are passed with
    /// each call, so that a change of the policy takes effect at once.
    pub fn take(&mut self, now: time::Instant, rate_per_s: u32, burst: u32) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let refilled = self.tokens + elapsed * f64::from(rate_per_s);
        self.tokens = refilled.min(f64::from(burst.max(1)));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
