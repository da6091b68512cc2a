//! Rate of chunk traffic on one link.

use std::time;

/// Share of the full rate that chunk traffic may use while live requests are in progress.
const LIVE_RATE_SHARE: f64 = 0.85;

/// Time in which the rate rises from the lowered to the full one after the last live request.
const RECOVERY_TIME: time::Duration = time::Duration::from_millis(50);

/// Maximum unused time that later sends may catch up on. A timer may fire late by this much
/// without a loss of throughput.
const MAX_CATCH_UP: time::Duration = time::Duration::from_millis(30);

/// Spaces chunk traffic on a link so that live requests on the same link need not queue
/// behind it.
///
/// While live requests are in progress the rate is lowered. After the last one it rises again
/// over a short time, so that a series of short requests does not make it oscillate.
#[derive(Clone, Debug)]
pub struct Pacer {
    bytes_per_second: f64,
    next_send: Option<time::Instant>,
    last_live: Option<time::Instant>,
}

impl Pacer {
    /// Creates a pacer with a full rate of `bytes_per_second`; zero counts as one.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1) as f64,
            next_send: None,
            last_live: None,
        }
    }

    /// Reserves `bytes` at `now`, with `live` requests in progress, and returns the time at
    /// which they may be sent.
    pub fn reserve(&mut self, now: time::Instant, bytes: usize, live: u32) -> time::Instant {
        if live > 0 {
            self.last_live = Some(now);
        }
        let earliest = now.checked_sub(MAX_CATCH_UP).unwrap_or(now);
        let start = self.next_send.map_or(now, |next| next.max(earliest));
        let rate = self.bytes_per_second * self.rate_share(now);
        self.next_send = Some(start + time::Duration::from_secs_f64(bytes as f64 / rate));
        start.max(now)
    }

    /// Returns the share of the full rate that applies at `now`, from [`LIVE_RATE_SHARE`] to 1.
    fn rate_share(&self, now: time::Instant) -> f64 {
        let Some(last_live) = self.last_live else {
            return 1.0;
        };
        let since = now.saturating_duration_since(last_live);
        let recovered = (since.as_secs_f64() / RECOVERY_TIME.as_secs_f64()).min(1.0);
        LIVE_RATE_SHARE + (1.0 - LIVE_RATE_SHARE) * recovered
    }
}
