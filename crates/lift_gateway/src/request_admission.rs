//! Admission of a request.

use rand::RngExt as _;

use crate::{admissions, request_run};

impl request_run::RequestRun {
    /// Decides which places the request may use, at its first selection. A retry and a resumed stream
    /// may use all, since they have been admitted before.
    pub(crate) fn admit(&mut self) {
        let Some(place) = self.rank else {
            return;
        };
        let now = lift_clock::now();
        self.admission = match self.tried.is_empty() {
            true => self.shared.admissions.with(&self.service, |admission| {
                admission.admit(now, place, rand::rng().random())
            }),
            false => lift_dispatch::Admission::Unlimited,
        };
    }

    /// Whether the request may wait for a place at the gateway. A limited one would take the wake-ups
    /// of requests that may use the place.
    pub(crate) fn may_wait(&self) -> bool {
        self.admission == lift_dispatch::Admission::Unlimited
    }

    /// Terms on which the request looks for a place.
    pub(crate) fn admission_terms(&self) -> lift_dispatch::AdmissionTerms {
        lift_dispatch::AdmissionTerms::new(self.rank, self.route.target_latency, self.admission)
    }

    /// Records whether the request found a place.
    pub(crate) fn record_selection(&self, error: Option<lift_dispatch::SelectionError>) {
        let is_full = error == Some(lift_dispatch::SelectionError::Full);
        let Some(place) = self.rank.filter(|_| self.tried.is_empty()) else {
            return;
        };
        if error.is_some() && !is_full {
            return;
        }
        let now = lift_clock::now();
        let admission = self.admission;
        self.shared.admissions.with(&self.service, |service| {
            service.record(now, place, admission, !is_full);
        });
        let outcome = match (is_full, admission) {
            (false, lift_dispatch::Admission::Unlimited) => "placed",
            (false, lift_dispatch::Admission::Limited) => "placed_limited",
            (true, lift_dispatch::Admission::Unlimited) => "full",
            (true, lift_dispatch::Admission::Limited) => "full_limited",
        };
        admissions::count(&self.shared.counters, place, outcome);
    }
}
