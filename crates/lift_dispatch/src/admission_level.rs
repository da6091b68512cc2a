//! How far less urgent requests of a service are limited.

use std::time;

use crate::rank_place;

/// Smallest share of the requests of a rank that may use all places. A kind and a workspace must be
/// served at least a quarter as often as all requests.
const MIN_SHARE: f64 = 0.3;

/// Part of the range by which the level rises when a request finds no place. Bursts last 4 s
/// and more (`docs/design/hard-load.md`), so a gateway must act within a few of its requests.
const RISE: f64 = 0.2;

/// Part of the range by which the level rises when a request must wait for a place. Most find one,
/// but the servers are nearly full, and those that are refused later have filled them.
const WAIT_RISE: f64 = 0.05;

/// Part of the range by which the level falls when a request that it protects finds a place. With
/// [`RISE`] it keeps the share of refusals near 2%.
const FALL: f64 = 0.004;

/// Part of the range by which the level falls when a limited request finds a place: there are more
/// places than the reserved ones.
const LIMITED_FALL: f64 = 0.02;

/// Part of the range by which the level may rise within [`SETTLE_TIME`], at least one rank, so that
/// the limit on one rank takes effect before the next rank is limited.
const SETTLE_RISE: f64 = 0.5;

/// Time until requests that were admitted before a rise have left their places.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Time in which the level falls over its whole range while requests are still refused or wait.
const RECOVERY_TIME: time::Duration = time::Duration::from_secs(8);

/// Time without a refusal or wait after which the shortage has probably ended.
const QUIET_TIME: time::Duration = time::Duration::from_millis(700);

/// Time in which the level falls over its whole range after that.
const QUIET_RECOVERY_TIME: time::Duration = time::Duration::from_secs(3);

/// How many ranks, from the least urgent one, are limited. From 0 to the number of ranks less one;
/// the fraction limits a part of the requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionLevel {
    level: f64,
    /// When a protected request was last refused or had to wait.
    last_shortage_at: Option<time::Instant>,
    /// How far the level may still rise now, in ranks. It is refilled over [`SETTLE_TIME`].
    allowance: f64,
    updated: Option<time::Instant>,
}

impl AdmissionLevel {
    /// Share of the requests at `place` that may use all places.
    pub fn share(&mut self, now: time::Instant, place: rank_place::RankPlace) -> f64 {
        self.recover(now, place);
        let limited = (self.level - place.less_urgent() as f64).clamp(0.0, 1.0);
        1.0 - limited * (1.0 - MIN_SHARE)
    }

    /// Records that a request at `place` which may use all places found none. It limits only the
    /// less urgent ranks, the least urgent first.
    pub fn record_refusal(&mut self, now: time::Instant, place: rank_place::RankPlace) {
        self.rise(now, place, RISE);
    }

    /// Records that a request at `place` which may use all places has to wait for one.
    pub fn record_wait(&mut self, now: time::Instant, place: rank_place::RankPlace) {
        self.rise(now, place, WAIT_RISE);
    }

    /// Records that a request at `place` found a place. `is_limited` tells whether it had to leave
    /// the reserved places free.
    pub fn record_placement(
        &mut self,
        now: time::Instant,
        place: rank_place::RankPlace,
        is_limited: bool,
    ) {
        self.recover(now, place);
        let is_protected = place.less_urgent() as f64 >= self.level;
        let fall = match (is_limited, is_protected) {
            (true, _) => LIMITED_FALL,
            (false, true) => FALL,
            (false, false) => 0.0,
        };
        self.level = (self.level - fall * range(place)).max(0.0);
    }

    /// Number of ranks that are limited.
    pub fn level(&self) -> f64 {
        self.level
    }

    fn rise(&mut self, now: time::Instant, place: rank_place::RankPlace, part: f64) {
        self.recover(now, place);
        self.last_shortage_at = Some(now);
        let highest = place.less_urgent() as f64;
        let rise = (part * range(place)).min(highest - self.level);
        let rise = rise.min(self.allowance).max(0.0);
        self.allowance -= rise;
        self.level += rise;
    }

    fn recover(&mut self, now: time::Instant, place: rank_place::RankPlace) {
        let since = self.updated.unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let is_quiet = self
            .last_shortage_at
            .is_some_and(|at| now.saturating_duration_since(at) >= QUIET_TIME);
        let recovery_time = match is_quiet {
            true => QUIET_RECOVERY_TIME,
            false => RECOVERY_TIME,
        };
        let fall = elapsed / recovery_time.as_secs_f64() * range(place);
        let refill = elapsed / SETTLE_TIME.as_secs_f64() * SETTLE_RISE * range(place);
        let allowance = (SETTLE_RISE * range(place)).max(1.0);
        self.allowance = match self.updated {
            Some(_) => (self.allowance + refill).min(allowance),
            None => allowance,
        };
        self.updated = Some(now);
        // The number of ranks may have shrunk with the configuration.
        self.level = (self.level - fall).clamp(0.0, range(place));
    }
}

fn range(place: rank_place::RankPlace) -> f64 {
    place.count.saturating_sub(1) as f64
}
