//! Admission of the requests of a service.

use std::time;

use crate::{admission, admission_level, rank_place};

/// Admission of the requests of one service at one gateway.
///
/// Takes the outcomes of selections, and decides which requests must leave the last places of the
/// servers to more urgent ones. See `docs/design/priorities.md`.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceAdmission {
    level: admission_level::AdmissionLevel,
}

impl ServiceAdmission {
    /// Decides which places a request at `place` may use. `draw` is a random number from 0 up to 1.
    pub fn admit(
        &mut self,
        now: time::Instant,
        place: rank_place::RankPlace,
        draw: f64,
    ) -> admission::Admission {
        match draw < self.level.share(now, place) {
            true => admission::Admission::Unlimited,
            false => admission::Admission::Limited,
        }
    }

    /// Records whether a request found a place.
    pub fn record(
        &mut self,
        now: time::Instant,
        place: rank_place::RankPlace,
        admission: admission::Admission,
        is_placed: bool,
    ) {
        let is_limited = admission == admission::Admission::Limited;
        match (is_placed, is_limited) {
            (true, _) => self.level.record_placement(now, place, is_limited),
            (false, false) => self.level.record_refusal(now, place),
            (false, true) => {}
        }
    }

    /// Number of ranks that are limited, the least urgent first.
    pub fn level(&self) -> f64 {
        self.level.level()
    }
}
