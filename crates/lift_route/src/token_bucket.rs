//! Rate limit.

use std::time;

/// Tokens that refill at a fixed rate up to a burst.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    at: time::Instant,
}

impl TokenBucket {
    /// Starts full, with `burst` tokens.
    pub fn new(now: time::Instant, burst: u32) -> Self {
        Self {
            tokens: f64::from(burst.max(1)),
            at: now,
        }
    }

    /// Takes one token where there is one. Rate and burst come with each call, so that a
    /// change of the policy counts at once.
    pub fn take(&mut self, now: time::Instant, rate_per_s: u32, burst: u32) -> bool {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let refilled = self.tokens + elapsed * f64::from(rate_per_s);
        self.tokens = refilled.min(f64::from(burst.max(1)));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
