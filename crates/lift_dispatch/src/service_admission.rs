//! Admission of the requests of a service.

use std::time;

use crate::{admission, admission_level, admission_rates, rank_place};

/// How much more often callers that return are admitted than others of their rank. It also bounds
/// what a caller gains by a short deadline, which makes it look like one that returns.
const RETURN_PREFERENCE: f64 = 1.25;

/// Shortest time between two reports of the level.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Change of the level, in ranks, that is reported.
const REPORTED_CHANGE: f64 = 0.5;

/// Weight of the newest request in the share of the returning callers.
const NEWEST_WEIGHT: f64 = 0.02;

/// Admission of the requests of one service at one gateway.
///
/// Takes the outcomes of selections, and decides which requests must leave the last places of the
/// servers to more urgent ones. See `docs/design/priorities.md`.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceAdmission {
    level: admission_level::AdmissionLevel,
    rates: admission_rates::AdmissionRates,
    /// Share of the requests whose callers return.
    return_share: f64,
    /// The level that was reported last, and when.
    reported: Option<(f64, time::Instant)>,
}

impl ServiceAdmission {
    /// Decides which places a request at `place` may use. `draw` is a random number from 0 up to 1.
    /// Callers that return are preferred to those of their rank that come for the first time, but
    /// the rank gets no larger share by them.
    pub fn admit(
        &mut self,
        now: time::Instant,
        place: rank_place::RankPlace,
        is_returning: bool,
        draw: f64,
    ) -> admission::Admission {
        let newest = f64::from(u8::from(is_returning));
        self.return_share += (newest - self.return_share) * NEWEST_WEIGHT;
        let share = self.level.share(now, place);
        let returning = (share * RETURN_PREFERENCE).min(1.0);
        let others = (share - self.return_share * returning) / (1.0 - self.return_share);
        let share = match is_returning {
            true => returning,
            false => others,
        };
        match draw < share {
            true => admission::Admission::Unlimited,
            false => admission::Admission::Limited,
        }
    }

    /// Records whether a request found a place. `place` is `None` if all requests of the service
    /// have the same rank.
    pub fn record(
        &mut self,
        now: time::Instant,
        place: Option<rank_place::RankPlace>,
        admission: admission::Admission,
        is_placed: bool,
    ) {
        self.rates.record(now, is_placed);
        let Some(place) = place else {
            return;
        };
        let is_limited = admission == admission::Admission::Limited;
        match (is_placed, is_limited) {
            (true, _) => self.level.record_placement(now, place, is_limited),
            (false, false) => self.level.record_refusal(now, place),
            (false, true) => {}
        }
    }

    /// Records that a request must wait for a place.
    pub fn record_wait(&mut self, now: time::Instant, place: rank_place::RankPlace) {
        self.level.record_wait(now, place);
    }

    /// Time after which there is room for a request that is refused now, if a place is taken for
    /// `place_time`. `None` if too little is known.
    pub fn room_after(
        &mut self,
        now: time::Instant,
        place_time: time::Duration,
    ) -> Option<time::Duration> {
        self.rates.room_after(now, place_time)
    }

    /// Number of ranks that are limited, the least urgent first.
    pub fn level(&self) -> f64 {
        self.level.level()
    }

    /// The level, if it has changed enough to be reported to operators, and not too often.
    pub fn level_to_report(&mut self, now: time::Instant) -> Option<f64> {
        let level = self.level();
        let (before, at) = self.reported.unwrap_or((0.0, now));
        let is_due =
            self.reported.is_none() || now.saturating_duration_since(at) >= REPORT_INTERVAL;
        let is_over = level <= 0.0 && before > 0.0;
        let has_changed = is_over || (level - before).abs() >= REPORTED_CHANGE;
        (is_due && has_changed).then(|| {
            self.reported = Some((level, now));
            level
        })
    }
}
