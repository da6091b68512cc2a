//! Admission of a request.

use std::time;

use rand::RngExt as _;

use crate::{admissions, request_run};

impl request_run::RequestRun {
    /// Decides which places the request may use, at its first selection. A retry and a resumed
    /// stream may use all, since they have been admitted before.
    pub(crate) fn admit(&mut self) {
        let Some(place) = self.rank else {
            return;
        };
        if !self.tried.is_empty() || self.head.last_event.is_some() {
            self.admission = lift_dispatch::Admission::Unlimited;
            return;
        }
        let now = lift_clock::now();
        let is_returning = self.is_returning(now);
        let admissions = &self.shared.admissions;
        let (admission, level) = admissions.with(&self.service, |service| {
            let admission = service.admit(now, place, is_returning, rand::rng().random());
            (admission, service.level_to_report(now))
        });
        self.admission = admission;
        if is_returning {
            admissions::count(&self.shared.counters, place, "returning");
        }
        if let Some(level) = level {
            self.shared.log.write_limited(|log| {
                slog::info!(log, "admission level changed"; "service" => &self.service,
                    "limited_ranks" => format!("{level:.2}"));
            });
        }
    }

    /// Whether the caller has probably been refused before. One that resumes a stream has less time
    /// left for another reason.
    fn is_returning(&self, now: time::Instant) -> bool {
        self.head.last_event.is_none()
            && self.head.timeout.is_some_and(|timeout| {
                let admissions = &self.shared.admissions;
                let timeout = timeout.min(self.route.timeout);
                admissions.record_caller(&self.route, now, timeout)
            })
    }

    /// Whether the request may wait for a place at the gateway. A limited one would take the
    /// wake-ups of requests that may use the place.
    pub(crate) fn may_wait(&self) -> bool {
        self.admission == lift_dispatch::Admission::Unlimited
    }

    /// Time until which a wait for a place can succeed: an engine must still read the prompt.
    pub(crate) fn wait_limit(&self, max_wait: time::Duration) -> time::Instant {
        let now = lift_clock::now();
        let prefill_time = self.shared.fleet.prefill_time(&self.service);
        let last = self.deadline.checked_sub(prefill_time).unwrap_or(now);
        last.min(now + max_wait)
    }

    /// Terms on which the request looks for a place.
    pub(crate) fn admission_terms(&self) -> lift_dispatch::AdmissionTerms {
        lift_dispatch::AdmissionTerms::new(self.rank, self.route.target_latency, self.admission)
    }

    /// Records that the request waits for a place.
    pub(crate) fn record_wait(&self) {
        let Some(place) = self.rank.filter(|_| self.tried.is_empty()) else {
            return;
        };
        let now = lift_clock::now();
        self.shared.admissions.with(&self.service, |service| {
            service.record_wait(now, place);
        });
        admissions::count(&self.shared.counters, place, "waited");
    }

    /// Records whether the request found a place.
    pub(crate) fn record_selection(&self, error: Option<lift_dispatch::SelectionError>) {
        let is_full = error == Some(lift_dispatch::SelectionError::Full);
        if !self.tried.is_empty() || (error.is_some() && !is_full) {
            return;
        }
        let now = lift_clock::now();
        let (place, admission) = (self.rank, self.admission);
        self.shared.admissions.with(&self.service, |service| {
            service.record(now, place, admission, !is_full);
        });
        let outcome = match (is_full, admission) {
            (false, lift_dispatch::Admission::Unlimited) => "placed",
            (false, lift_dispatch::Admission::Limited) => "placed_limited",
            (true, lift_dispatch::Admission::Unlimited) => "full",
            (true, lift_dispatch::Admission::Limited) => "full_limited",
        };
        if let Some(place) = place {
            admissions::count(&self.shared.counters, place, outcome);
        }
    }

    /// When the caller should come back after a rejection for `reason`. `None` if nothing better is
    /// known than the usual time, or if all requests of the service have the same priority.
    pub(crate) fn retry_after(
        &self,
        reason: lift_dispatch::RejectionReason,
    ) -> Option<time::Duration> {
        if self.rank.is_none() || reason != lift_dispatch::RejectionReason::Full {
            return None;
        }
        let now = lift_clock::now();
        let place_time = self
            .shared
            .with_service_latency(&self.service, |latency| latency.mean_duration());
        let room_after = self
            .shared
            .admissions
            .with(&self.service, |service| service.room_after(now, place_time))?;
        let retry_time = lift_dispatch::RetryTime {
            room_after,
            answer_time: place_time,
            time_left: self.deadline.saturating_duration_since(now),
        };
        self.shared
            .counters
            .increment(match retry_time.misses_deadline() {
                true => "gateway.retry_after_deadline",
                false => "gateway.retry_after_room",
            });
        Some(retry_time.choose(rand::rng().random()))
    }
}
