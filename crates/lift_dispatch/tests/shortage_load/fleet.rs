//! Three regions of gateways and engines with callers that return once.

use std::{collections, net, sync, time};

use lift_dispatch::{
    Admission, AdmissionTerms, Backend, BackendSelector, LoadSample, RankPlace, RequestRank,
    RetryTime, ScoreFn, ServiceRanks, Ticket,
};

use super::{caller, deployment, engine, gateway, tally};

/// Milliseconds for which a load is played.
const LENGTH_MS: u64 = 18_000;

/// Callers that were sent before this time do not count, in milliseconds.
const WARM_UP_MS: u64 = 3_000;

/// Time between two reports of an engine, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 50;

/// Time that a report or a request is on its way, in milliseconds.
const TRANSIT_MS: u64 = 3;

/// Divisor of the target latency that gives the time for which a request waits for a place.
const WAIT_DIVISOR: u64 = 8;

/// Time between two selections for a request that waits, in milliseconds.
const WAIT_STEP_MS: u64 = 4;

const WORKSPACES: usize = 24;

/// Length of a slice of time, in milliseconds.
const SLICE_MS: u64 = 1_000;

struct Admitted {
    caller: caller::Caller,
    engine: usize,
    ticket: Ticket,
    took_ms: Option<u64>,
}

struct Waiting {
    caller: caller::Caller,
    admission: Admission,
}

/// What callers got.
#[derive(Default)]
pub(crate) struct Outcome {
    pub(crate) kinds: Vec<tally::Tally>,
    pub(crate) workspaces: Vec<tally::Tally>,
    /// The largest tenth and the fifth below it, by kind.
    pub(crate) sizes: Vec<[tally::Tally; 2]>,
    /// By kind, for each second.
    pub(crate) slices: Vec<Vec<tally::Tally>>,
    /// First attempts refused while under half of the places were taken and nothing waited.
    pub(crate) needless: usize,
}

/// A fleet with its state.
pub(crate) struct Fleet {
    deployment: deployment::Deployment,
    has_ranks: bool,
    ranks: ServiceRanks,
    regions: Vec<String>,
    backends: Vec<sync::Arc<Backend>>,
    engines: Vec<engine::Engine>,
    gateways: Vec<gateway::Gateway>,
    waiting: Vec<Waiting>,
    returning: collections::BTreeMap<u64, Vec<caller::Caller>>,
    admitted: Vec<Admitted>,
    outcome: Outcome,
    random: u64,
    start: time::Instant,
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
            ranks: ServiceRanks::new(&table(&deployment)),
            has_ranks,
            regions: locations.iter().map(|own| own.region.clone()).collect(),
            backends: (0..engines).map(backend).collect(),
            engines: vec![engine::Engine::default(); engines],
            gateways: gateways.collect(),
            waiting: Vec::new(),
            returning: collections::BTreeMap::new(),
            admitted: Vec::new(),
            outcome: Outcome {
                kinds: vec![tally::Tally::default(); kinds],
                workspaces: vec![tally::Tally::default(); WORKSPACES],
                sizes: vec![[tally::Tally::default(); 2]; kinds],
                slices: vec![vec![tally::Tally::default(); (LENGTH_MS / SLICE_MS) as usize]; kinds],
                needless: 0,
            },
            random: 0x9E37_79B9_7F4A_7C15,
            start: time::Instant::now(),
            deployment,
        }
    }

    /// Plays the load and returns what callers got.
    pub(crate) fn play(mut self) -> Outcome {
        let scale = self.deployment.scale();
        let mut due = vec![0.0; self.deployment.kinds.len()];
        for now_ms in 0..LENGTH_MS + 9_000 {
            if now_ms == self.deployment.lost_from_ms {
                self.lose_engines();
            }
            self.work(now_ms);
            self.report(now_ms);
            for (kind, due) in due.iter_mut().enumerate() {
                if now_ms < LENGTH_MS {
                    *due += self.deployment.rate(kind, now_ms, scale) * self.exponential();
                }
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.send(now_ms, kind);
                }
            }
            for caller in self.returning.remove(&now_ms).unwrap_or_default() {
                let gateway = self.draw() % self.gateways.len();
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
        let uniform = self.uniform();
        // Two of the workspaces send a third of the requests.
        let workspace = match uniform < 0.33 {
            true => self.draw() % 2,
            false => 2 + self.draw() % (WORKSPACES - 2),
        };
        let size = caller::size(self.uniform());
        let gateway = self.draw() % self.gateways.len();
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

    fn arrive(&mut self, caller: caller::Caller) {
        let now = self.at(caller.arrived_ms);
        let left = self.time_left(&caller, caller.arrived_ms);
        let place = self.place(&caller);
        let draw = self.uniform();
        let gateway = &mut self.gateways[caller.gateway];
        let is_returning = gateway.returning[caller.kind].record(now, left);
        let admission = place.map_or(Admission::Unlimited, |place| {
            gateway.admission.admit(now, place, is_returning, draw)
        });
        self.waiting.push(Waiting { caller, admission });
    }

    fn select_waiting(&mut self, now_ms: u64) {
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

    fn refuse(&mut self, now_ms: u64, waiting: &Waiting) {
        let now = self.at(now_ms);
        let caller = waiting.caller;
        let place = self.place(&caller);
        let draw = self.uniform();
        let time_left = self.time_left(&caller, now_ms);
        let gateway = &mut self.gateways[caller.gateway];
        let place_time = gateway.place_time();
        gateway
            .admission
            .record(now, place, waiting.admission, false);
        if caller.is_back {
            self.count(&caller, |tally| tally.failed += 1);
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
        let back_ms = now_ms + wait_ms.max(1) + 2 * TRANSIT_MS;
        self.returning.entry(back_ms).or_default().push(caller);
        self.count(&caller, |tally| tally.refused_first += 1);
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

    fn select(&mut self, now_ms: u64, waiting: &Waiting) -> bool {
        let caller = waiting.caller;
        let now = self.at(now_ms);
        let draw = self.draw();
        let place = self.place(&caller);
        let kind = self.deployment.kinds[caller.kind];
        let target = time::Duration::from_millis(kind.target_ms);
        let terms = AdmissionTerms::new(place, target, waiting.admission);
        let gateway = &self.gateways[caller.gateway];
        let selector = BackendSelector {
            now,
            region: &self.regions[caller.gateway],
            gateways: &gateway.shares,
            weights: &lift_dispatch::WeightsRequirement::default(),
            queue_share: terms.queue_share(gateway.latency.queue_share(terms.target)),
            prefill_time: self.deployment.prefill_time(),
            target_latency: terms.target,
            allowed_regions: &lift_fleet::AllowedRegions::default(),
            tried: &[],
        };
        let with_load =
            |backend: &Backend, score: ScoreFn<'_>| score(&gateway.loads[position(backend)]);
        let Ok(backend) = selector.select(&self.backends, &with_load, draw) else {
            return false;
        };
        let engine = position(&backend);
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
        self.admitted.push(Admitted {
            caller,
            engine,
            ticket,
            took_ms: None,
        });
        true
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
        self.count(&caller, |tally| {
            match is_in_deadline {
                true if took_ms <= kind.target_ms => tally.in_time += 1,
                true => tally.late += 1,
                false => tally.failed += 1,
            }
            tally.returned += usize::from(caller.is_back);
        });
    }

    fn count(&mut self, caller: &caller::Caller, update: impl Fn(&mut tally::Tally)) {
        let slice = (caller.sent_ms / SLICE_MS) as usize;
        update(&mut self.outcome.slices[caller.kind][slice]);
        if caller.sent_ms < WARM_UP_MS {
            return;
        }
        update(&mut self.outcome.kinds[caller.kind]);
        update(&mut self.outcome.workspaces[caller.workspace]);
        if caller.size >= caller::LARGEST_TENTH {
            update(&mut self.outcome.sizes[caller.kind][0]);
        } else if caller.size >= caller::LARGE {
            update(&mut self.outcome.sizes[caller.kind][1]);
        }
    }

    fn lose_engines(&mut self) {
        for i in (0..self.engines.len()).step_by(5) {
            for request in self.engines[i].lose() {
                let run = &self.admitted[request];
                let gateway = &mut self.gateways[run.caller.gateway];
                gateway.loads[run.engine].finish_request(run.ticket);
                let caller = run.caller;
                self.count(&caller, |tally| tally.failed += 1);
            }
        }
        let is_lost = |backend: &sync::Arc<Backend>| self.engines[position(backend)].is_lost;
        self.backends.retain(|backend| !is_lost(backend));
    }

    fn report(&mut self, now_ms: u64) {
        let received_at = self.at(now_ms + TRANSIT_MS);
        for i in 0..self.engines.len() {
            let is_due = (now_ms + i as u64 * 7).is_multiple_of(REPORT_INTERVAL_MS);
            if !is_due || self.engines[i].is_lost {
                continue;
            }
            let random = self.uniform();
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

    fn at(&self, now_ms: u64) -> time::Instant {
        self.start + time::Duration::from_millis(now_ms)
    }

    /// A random number, the same in each run.
    fn draw(&mut self) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 16) as usize
    }

    /// A random number from 0 up to 1.
    fn uniform(&mut self) -> f64 {
        (self.draw() % 1_000_000) as f64 / 1_000_000.0
    }

    /// A random number with an exponential distribution and a mean of 1.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.uniform()).ln()
    }
}

fn table(deployment: &deployment::Deployment) -> lift_fleet::RoutingTable {
    let mut table = lift_fleet::RoutingTable::builder(1).service(lift_fleet::Service {
        name: String::from("m"),
        max_connections: 0,
        warmup: None,
        engine: None,
        origin: None,
    });
    for (i, kind) in deployment.kinds.iter().enumerate() {
        table = table.route(lift_fleet::Route {
            name: format!("r{i}"),
            host: format!("h{i}"),
            prefix: String::from("/"),
            kind: lift_fleet::RouteKind::ResumableStream,
            timeout: time::Duration::from_millis(kind.deadline_ms),
            target_latency: time::Duration::from_millis(kind.target_ms),
            target_gap: time::Duration::from_millis(400),
            priority: kind.priority,
            splits: vec![lift_fleet::Split {
                service: String::from("m"),
                weight: 1,
            }],
            max_attempts: 2,
            is_auth_exempt: false,
            allowed_regions: lift_fleet::AllowedRegions::default(),
        });
    }
    for (i, priority) in deployment.workspace_priorities.iter().enumerate() {
        table = table.require_keys().workspace(lift_fleet::Workspace {
            id: format!("w{i}"),
            priority: Some(*priority),
            allowed_regions: lift_fleet::AllowedRegions::default(),
        });
    }
    table.build().unwrap()
}

fn backend(position: usize) -> sync::Arc<Backend> {
    let region = format!("region-{}", position % 3);
    sync::Arc::new(Backend {
        id: format!("s{position}"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 8_000 + position as u16)),
        failure_domain: format!("{region}-1"),
        region: Some(region),
        slots: engine::SLOTS,
        models: Vec::new(),
        is_silent: false,
    })
}

fn position(backend: &Backend) -> usize {
    usize::from(backend.address.port() - 8_000)
}
