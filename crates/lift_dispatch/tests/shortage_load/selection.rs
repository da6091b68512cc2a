//! Admission, selection and refusal of requests at the gateways of a fleet.

use std::time;

use lift_dispatch::{
    Admission, AdmissionTerms, Backend, BackendSelector, RankPlace, RequestRank, RetryTime, ScoreFn,
};

use super::{caller, document, engine, fleet};

/// Divisor of the target latency that gives the time for which a request waits for a place.
const WAIT_DIVISOR: u64 = 8;

/// Time between two selections for a request that waits, in milliseconds.
const WAIT_STEP_MS: u64 = 4;

impl fleet::Fleet {
    fn place(&self, caller: &caller::Caller) -> Option<RankPlace> {
        if !self.has_ranks {
            return None;
        }
        let priorities = &self.deployment.workspace_priorities;
        let workspace = match priorities.is_empty() {
            true => None,
            false => Some(priorities[caller.workspace % priorities.len()]),
        };
        let rank = RequestRank::new(self.deployment.kinds[caller.kind].priority, workspace);
        self.ranks.place("m", rank)
    }

    fn time_left(&self, caller: &caller::Caller, now_ms: u64) -> time::Duration {
        let deadline = self.deployment.kinds[caller.kind].deadline_ms;
        time::Duration::from_millis((caller.sent_ms + deadline).saturating_sub(now_ms))
    }

    pub(super) fn arrive(&mut self, caller: caller::Caller) {
        let now = self.at(caller.arrived_ms);
        let left = self.time_left(&caller, caller.arrived_ms);
        let place = self.place(&caller);
        let draw = self.random.uniform();
        let gateway = &mut self.gateways[caller.gateway];
        let is_returning = gateway.returning[caller.kind].record(now, left);
        let admission = place.map_or(Admission::Unlimited, |place| {
            gateway.admission.admit(now, place, is_returning, draw)
        });
        self.waiting.push(fleet::Waiting { caller, admission });
    }

    pub(super) fn select_waiting(&mut self, now_ms: u64) {
        for waiting in std::mem::take(&mut self.waiting) {
            let waited = now_ms - waiting.caller.arrived_ms;
            let is_due = waited.is_multiple_of(WAIT_STEP_MS);
            if is_due && self.select(now_ms, &waiting) {
                continue;
            }
            if let Some(place) = self.place(&waiting.caller)
                && waited == 0
                && waiting.admission == Admission::Unlimited
            {
                let now = self.at(now_ms);
                let gateway = &mut self.gateways[waiting.caller.gateway];
                gateway.admission.record_wait(now, place);
            }
            let target = self.deployment.kinds[waiting.caller.kind].target_ms;
            let is_limited = waiting.admission == Admission::Limited;
            match !is_limited && waited < target / WAIT_DIVISOR {
                true => self.waiting.push(waiting),
                false => self.refuse(now_ms, &waiting),
            }
        }
    }

    fn refuse(&mut self, now_ms: u64, waiting: &fleet::Waiting) {
        let now = self.at(now_ms);
        let caller = waiting.caller;
        let place = self.place(&caller);
        let draw = self.random.uniform();
        let time_left = self.time_left(&caller, now_ms);
        let gateway = &mut self.gateways[caller.gateway];
        let place_time = gateway.place_time();
        gateway
            .admission
            .record(now, place, waiting.admission, false);
        if caller.is_back {
            self.outcome.count(&caller, |tally| tally.failed += 1);
            return;
        }
        let room_after = gateway.admission.room_after(now, place_time);
        let retry_after = match room_after.filter(|_| self.has_ranks) {
            Some(room_after) => RetryTime {
                room_after,
                answer_time: place_time,
                time_left,
            }
            .choose(draw),
            None => time::Duration::from_secs_f64(1.0 + draw),
        };
        let wait_ms = retry_after.min(time_left / 3).as_millis() as u64;
        let back_ms = now_ms + wait_ms.max(1) + 2 * fleet::TRANSIT_MS;
        self.returning.entry(back_ms).or_default().push(caller);
        self.outcome
            .count(&caller, |tally| tally.refused_first += 1);
        let live = self.engines.iter().filter(|engine| !engine.is_lost);
        let (taken, prompts, places) = live.fold((0, 0, 0), |sum, engine| {
            (
                sum.0 + engine.requests(),
                sum.1 + engine.queued_prompts(),
                sum.2 + engine::SLOTS,
            )
        });
        if taken * 2 < places && prompts < engine::SLOTS {
            self.outcome.needless += 1;
        }
    }

    fn select(&mut self, now_ms: u64, waiting: &fleet::Waiting) -> bool {
        let caller = waiting.caller;
        let now = self.at(now_ms);
        let draw = self.random.draw();
        let place = self.place(&caller);
        let kind = self.deployment.kinds[caller.kind];
        let target = time::Duration::from_millis(kind.target_ms);
        let terms = AdmissionTerms::new(place, target, waiting.admission);
        let gateway = &self.gateways[caller.gateway];
        let selector = BackendSelector {
            now,
            region: &self.regions[caller.gateway],
            distances: None,
            balance: None,
            gateways: &gateway.shares,
            weights: &lift_dispatch::WeightsRequirement::default(),
            queue_share: terms.queue_share(gateway.latency.queue_share(terms.target)),
            prefill_time: self.deployment.prefill_time(),
            target_latency: terms.target,
            allowed_regions: &lift_fleet::AllowedRegions::default(),
            tried: &[],
        };
        let with_load = |backend: &Backend, score: ScoreFn<'_>| {
            score(&gateway.loads[document::position(backend)])
        };
        let Ok(backend) = selector.select(&self.backends, &with_load, draw) else {
            return false;
        };
        let engine = document::position(&backend);
        let run = engine::Run {
            request: self.admitted.len(),
            priority: place.map_or(5, |place| place.engine_priority()),
            unread: (kind.prompt_tokens * caller.size) as u32,
            unwritten: (kind.answer_tokens * caller.size) as u32,
            has_started: false,
        };
        if !self.engines[engine].accept(run) {
            return false;
        }
        let gateway = &mut self.gateways[caller.gateway];
        gateway
            .admission
            .record(now, place, waiting.admission, true);
        let ticket = gateway.loads[engine].start_request(now);
        self.admitted.push(fleet::Admitted {
            caller,
            engine,
            ticket,
            took_ms: None,
        });
        true
    }
}
