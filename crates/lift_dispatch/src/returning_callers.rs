//! Recognition of callers that come back after a refusal.

use std::time;

/// Time for which the longest time left of a route's requests is remembered at least.
const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Time left from which a request counts as one that comes for the first time, as a share of the
/// longest. It allows for the way of the request.
const FIRST_SHARE: f64 = 0.97;

/// Shortest time left of a caller that returns, as a share of the longest. Callers wait for at most
/// a third of their time, and have been served or refused shortly after they came.
const RETURNED_SHARE: f64 = 0.55;

/// Share of the requests that must bring about the longest time, so that less means something.
const MIN_USUAL_SHARE: f64 = 0.6;

/// Weight of the newest request in the share.
const NEWEST_WEIGHT: f64 = 0.02;

/// Tells callers of one route that return by the time that they have left.
///
/// It is reliable only where most callers start with the same time. Very short times don't count,
/// so a caller gains nothing by them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturningCallers {
    window_start: Option<time::Instant>,
    longest: time::Duration,
    longest_before: time::Duration,
    usual_share: f64,
}

impl ReturningCallers {
    /// Records a request whose caller waits for `time_left`, and returns whether that caller has
    /// probably been refused before.
    pub fn record(&mut self, now: time::Instant, time_left: time::Duration) -> bool {
        let start = *self.window_start.get_or_insert(now);
        if now.saturating_duration_since(start) >= WINDOW {
            self.window_start = Some(now);
            self.longest_before = std::mem::take(&mut self.longest);
        }
        self.longest = self.longest.max(time_left);
        let longest = self.longest.max(self.longest_before);
        let is_first = time_left >= longest.mul_f64(FIRST_SHARE);
        let newest = f64::from(u8::from(is_first));
        self.usual_share += (newest - self.usual_share) * NEWEST_WEIGHT;
        !is_first
            && time_left >= longest.mul_f64(RETURNED_SHARE)
            && self.usual_share >= MIN_USUAL_SHARE
    }
}
