//! Recent rates of admissions and refusals.

use std::time;

/// Time over which the rates are averaged. Bursts last 4 s and more (`docs/design/hard-load.md`).
const AVERAGING_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Fewest recent refusals from which anything is concluded.
const MIN_REFUSALS: f64 = 3.0;

/// Longest time after which there is assumed to be room again.
const MAX_ROOM_TIME: time::Duration = time::Duration::from_secs(10);

/// Counts of recent admissions and refusals, in which older ones weigh less.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionRates {
    admitted: f64,
    refused: f64,
    updated: Option<time::Instant>,
}

impl AdmissionRates {
    /// Records whether a request was admitted.
    pub fn record(&mut self, now: time::Instant, is_admitted: bool) {
        self.age(now);
        match is_admitted {
            true => self.admitted += 1.0,
            false => self.refused += 1.0,
        }
    }

    /// Estimates when a request that is refused now finds a place. Each place is free again after
    /// `place_time`. The estimate adds one such time for new requests that compete, and more in
    /// proportion to the refused requests for each admitted one. `None` if there are too few
    /// refusals.
    pub fn room_after(
        &mut self,
        now: time::Instant,
        place_time: time::Duration,
    ) -> Option<time::Duration> {
        self.age(now);
        if self.refused < MIN_REFUSALS || place_time.is_zero() {
            return None;
        }
        let turns = 2.0 + self.refused / self.admitted.max(1.0);
        let seconds = place_time.as_secs_f64() * turns;
        Some(time::Duration::from_secs_f64(
            seconds.min(MAX_ROOM_TIME.as_secs_f64()),
        ))
    }

    fn age(&mut self, now: time::Instant) {
        let since = self.updated.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let kept = (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        self.admitted *= kept;
        self.refused *= kept;
    }
}
