//! Recent rates of admissions and refusals.

use std::time;

/// Time over which the rates are averaged. A burst lasts 4 s or more.
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

    /// Time after which there is room for a request that is refused now, if a place is taken for
    /// `place_time`: in that time all places are given out once. Those that are refused compete for
    /// them, also with those that come then, so it takes a further turn. `None` if too little is known.
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
