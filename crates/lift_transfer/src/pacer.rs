//! Rate of chunk traffic on one link.

use std::time;

/// Share of the rate that chunk traffic gets while live requests are in progress.
const LIVE_SHARE: f64 = 0.85;

/// Time in which the rate rises from the lowered to the full one after the last request.
const RECOVERY: time::Duration = time::Duration::from_millis(50);

/// Unused time that may be caught up. A timer may fire late by this much without a loss.
const BURST: time::Duration = time::Duration::from_millis(30);

/// Spaces chunk traffic on a link so that live requests on the same link find it idle.
///
/// While requests are in progress the rate is lowered; after the last one it rises again
/// over a short time, so that a stream of short requests does not make it swing.
#[derive(Clone, Debug)]
pub struct Pacer {
    bytes_per_second: f64,
    next: Option<time::Instant>,
    live_until: Option<time::Instant>,
}

impl Pacer {
    /// Paces to `bytes_per_second`, at least one.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1) as f64,
            next: None,
            live_until: None,
        }
    }

    /// Reserves `bytes` at `now`, with `live` requests in progress, and returns the time
    /// at which they may be sent.
    pub fn reserve(&mut self, now: time::Instant, bytes: usize, live: u32) -> time::Instant {
        if live > 0 {
            self.live_until = Some(now);
        }
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        let start = self.next.map_or(now, |next| next.max(earliest));
        let rate = self.bytes_per_second * self.share(now);
        self.next = Some(start + time::Duration::from_secs_f64(bytes as f64 / rate));
        start.max(now)
    }

    /// Share of the rate at `now`, between the lowered and the full one.
    fn share(&self, now: time::Instant) -> f64 {
        let Some(live_until) = self.live_until else {
            return 1.0;
        };
        let since = now.saturating_duration_since(live_until);
        let recovered = (since.as_secs_f64() / RECOVERY.as_secs_f64()).min(1.0);
        LIVE_SHARE + (1.0 - LIVE_SHARE) * recovered
    }
}
