//! Three regions of gateways and engines with callers that return once.

use std::{collections, sync, time};

use lift_dispatch::{Admission, Backend, LoadSample, ServiceRanks, Ticket};

use super::{caller, deployment, document, engine, gateway, outcome, random};

/// Time between two reports of an engine, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 50;

/// Time that a report or a request is on its way, in milliseconds.
pub(super) const TRANSIT_MS: u64 = 3;

pub(super) struct Admitted {
    pub(super) caller: caller::Caller,
    pub(super) engine: usize,
    pub(super) ticket: Ticket,
    pub(super) took_ms: Option<u64>,
}

pub(super) struct Waiting {
    pub(super) caller: caller::Caller,
    pub(super) admission: Admission,
}

/// A fleet with its state.
pub(crate) struct Fleet {
    pub(super) deployment: deployment::Deployment,
    pub(super) has_ranks: bool,
    pub(super) ranks: ServiceRanks,
    pub(super) regions: Vec<String>,
    pub(super) backends: Vec<sync::Arc<Backend>>,
    pub(super) engines: Vec<engine::Engine>,
    pub(super) gateways: Vec<gateway::Gateway>,
    pub(super) waiting: Vec<Waiting>,
    pub(super) returning: collections::BTreeMap<u64, Vec<caller::Caller>>,
    pub(super) admitted: Vec<Admitted>,
    pub(super) outcome: outcome::Outcome,
    pub(super) random: random::Random,
    pub(super) start: time::Instant,
}

impl Fleet {
    /// Creates a fleet. Without `has_ranks` it decides as before there were any.
    pub(crate) fn new(deployment: deployment::Deployment, has_ranks: bool) -> Self {
        let location = |host: u32| lift_types::Location {
            region: format!("region-{}", host % 3),
            failure_domain: format!("region-{}-1", host % 3),
            host,
        };
        let locations: Vec<_> = (0..deployment.gateways).map(location).collect();
        let (engines, kinds) = (deployment.engines, deployment.kinds.len());
        let gateways = locations.iter();
        let gateways = gateways.map(|own| gateway::Gateway::new(own, &locations, engines, kinds));
        Self {
            ranks: ServiceRanks::new(&document::table(&deployment)),
            has_ranks,
            regions: locations.iter().map(|own| own.region.clone()).collect(),
            backends: (0..engines).map(document::backend).collect(),
            engines: vec![engine::Engine::default(); engines],
            gateways: gateways.collect(),
            waiting: Vec::new(),
            returning: collections::BTreeMap::new(),
            admitted: Vec::new(),
            outcome: outcome::Outcome::new(kinds),
            random: random::Random::new(),
            start: time::Instant::now(),
            deployment,
        }
    }

    /// Plays the load and returns what callers got.
    pub(crate) fn play(mut self) -> outcome::Outcome {
        let scale = self.deployment.scale();
        let mut due = vec![0.0; self.deployment.kinds.len()];
        for now_ms in 0..outcome::LENGTH_MS + 9_000 {
            if now_ms == self.deployment.lost_from_ms {
                self.lose_engines();
            }
            self.work(now_ms);
            self.report(now_ms);
            for (kind, due) in due.iter_mut().enumerate() {
                if now_ms < outcome::LENGTH_MS {
                    *due += self.deployment.rate(kind, now_ms, scale) * self.random.exponential();
                }
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.send(now_ms, kind);
                }
            }
            for caller in self.returning.remove(&now_ms).unwrap_or_default() {
                let gateway = self.random.draw() % self.gateways.len();
                self.arrive(caller::Caller {
                    gateway,
                    arrived_ms: now_ms,
                    is_back: true,
                    ..caller
                });
            }
            self.select_waiting(now_ms);
        }
        self.outcome
    }

    fn send(&mut self, now_ms: u64, kind: usize) {
        let uniform = self.random.uniform();
        // Two of the workspaces send a third of the requests.
        let workspace = match uniform < 0.33 {
            true => self.random.draw() % 2,
            false => 2 + self.random.draw() % (outcome::WORKSPACES - 2),
        };
        let size = caller::size(self.random.uniform());
        let gateway = self.random.draw() % self.gateways.len();
        self.arrive(caller::Caller {
            kind,
            workspace,
            size,
            sent_ms: now_ms,
            is_back: false,
            arrived_ms: now_ms,
            gateway,
        });
    }

    fn work(&mut self, now_ms: u64) {
        let mut progress = Vec::new();
        for engine in &mut self.engines {
            engine.work(now_ms as f64, &mut progress);
        }
        for made in progress {
            match made {
                engine::Progress::FirstEvent(request) => self.start_answer(now_ms, request),
                engine::Progress::Finished(request) => self.finish(now_ms, request),
            }
        }
    }

    fn start_answer(&mut self, now_ms: u64, request: usize) {
        let run = &mut self.admitted[request];
        let gateway = &mut self.gateways[run.caller.gateway];
        gateway.loads[run.engine].receive_head(run.ticket);
        let end_ms = now_ms + TRANSIT_MS;
        run.took_ms = Some(end_ms - run.caller.sent_ms);
        let took = time::Duration::from_millis(end_ms - run.caller.arrived_ms);
        gateway.latency.record_first_event(took);
    }

    fn finish(&mut self, now_ms: u64, request: usize) {
        let run = &self.admitted[request];
        let gateway = &mut self.gateways[run.caller.gateway];
        gateway.loads[run.engine].finish_request(run.ticket);
        let took = now_ms + TRANSIT_MS - run.caller.arrived_ms;
        gateway
            .latency
            .record_duration(time::Duration::from_millis(took));
        let (caller, took_ms) = (run.caller, run.took_ms.unwrap_or(u64::MAX));
        let kind = self.deployment.kinds[caller.kind];
        let is_in_deadline = now_ms + TRANSIT_MS - caller.sent_ms <= kind.deadline_ms;
        self.outcome.count(&caller, |tally| {
            match is_in_deadline {
                true if took_ms <= kind.target_ms => tally.in_time += 1,
                true => tally.late += 1,
                false => tally.failed += 1,
            }
            tally.returned += usize::from(caller.is_back);
        });
    }

    fn lose_engines(&mut self) {
        for i in (0..self.engines.len()).step_by(5) {
            for request in self.engines[i].lose() {
                let run = &self.admitted[request];
                let gateway = &mut self.gateways[run.caller.gateway];
                gateway.loads[run.engine].finish_request(run.ticket);
                let caller = run.caller;
                self.outcome.count(&caller, |tally| tally.failed += 1);
            }
        }
        let is_lost =
            |backend: &sync::Arc<Backend>| self.engines[document::position(backend)].is_lost;
        self.backends.retain(|backend| !is_lost(backend));
    }

    fn report(&mut self, now_ms: u64) {
        let received_at = self.at(now_ms + TRANSIT_MS);
        for i in 0..self.engines.len() {
            let is_due = (now_ms + i as u64 * 7).is_multiple_of(REPORT_INTERVAL_MS);
            if !is_due || self.engines[i].is_lost {
                continue;
            }
            let random = self.random.uniform();
            for gateway in &mut self.gateways {
                gateway.loads[i].record_sample(LoadSample {
                    requests: self.engines[i].requests(),
                    queued_prompts: self.engines[i].queued_prompts(),
                    random,
                    models: Vec::new(),
                    link_percent: Some(100),
                    is_loading: false,
                    received_at,
                });
            }
        }
    }

    pub(super) fn at(&self, now_ms: u64) -> time::Instant {
        self.start + time::Duration::from_millis(now_ms)
    }
}
