//! Regions of gateways and engines. Gateways learn the loads of engines from delayed reports.

use std::{net, sync, time};

use lift_dispatch::{
    Backend, BackendLoad, BackendSelector, GatewayShares, LoadSample, ScoreFn, ServiceLatency,
    Ticket,
};

use super::{engine, load, outcome};

/// Time between two reports of an engine, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 50;

/// Time that a report or a request is on its way, in milliseconds.
const TRANSIT_MS: u64 = 3;

/// Latency that callers should see, in milliseconds.
const TARGET_MS: u64 = 500;

/// Time for which a request waits at its gateway for a free place, in milliseconds.
const MAX_WAIT_MS: u64 = TARGET_MS / 8;

/// A request that waits at its gateway.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    sent_ms: u64,
    gateway: usize,
}

/// A request that was admitted.
#[derive(Clone, Copy, Debug)]
struct Admitted {
    sent_ms: u64,
    gateway: usize,
    engine: usize,
    ticket: Ticket,
}

/// A fleet with its state.
pub(crate) struct Fleet {
    gateways: Vec<lift_types::Location>,
    /// Requests that each gateway gets, relative to the others.
    demand: Vec<f64>,
    shares: Vec<GatewayShares>,
    backends: Vec<sync::Arc<Backend>>,
    engines: Vec<engine::Engine>,
    /// Loads as each gateway knows them.
    loads: Vec<Vec<BackendLoad>>,
    /// Latencies that each gateway has seen.
    latencies: Vec<ServiceLatency>,
    waiting: Vec<Waiting>,
    admitted: Vec<Admitted>,
    random: u64,
    start: time::Instant,
}

impl Fleet {
    /// Creates a fleet with the given gateways and engines in each region.
    pub(crate) fn new(regions: &[(usize, usize)]) -> Self {
        let mut gateways = Vec::new();
        let mut backends = Vec::new();
        for (i, (gateway_count, engine_count)) in regions.iter().enumerate() {
            let region = format!("region-{i}");
            for _ in 0..*gateway_count {
                gateways.push(gateway(gateways.len() as u32, &region));
            }
            let first = backends.len();
            backends.extend((first..first + engine_count).map(|i| backend(i, &region)));
        }
        Self {
            demand: vec![1.0; gateways.len()],
            shares: gateways
                .iter()
                .map(|own| GatewayShares::new(own, &gateways))
                .collect(),
            engines: vec![engine::Engine::default(); backends.len()],
            loads: vec![vec![BackendLoad::default(); backends.len()]; gateways.len()],
            latencies: vec![ServiceLatency::default(); gateways.len()],
            gateways,
            backends,
            waiting: Vec::new(),
            admitted: Vec::new(),
            random: 0x9E37_79B9_7F4A_7C15,
            start: time::Instant::now(),
        }
    }

    /// Multiplies the requests that the gateways of a region get.
    pub(crate) fn with_demand(mut self, region: usize, factor: f64) -> Self {
        let region = format!("region-{region}");
        for (gateway, demand) in self.gateways.iter().zip(&mut self.demand) {
            *demand *= if gateway.region == region {
                factor
            } else {
                1.0
            };
        }
        self
    }

    /// Plays a load and returns what callers got whose requests were sent at `from_ms` or later.
    pub(crate) fn play(&mut self, load: load::Load, from_ms: u64) -> outcome::Outcome {
        let mut outcome = outcome::Outcome::default();
        let mut due = 0.0;
        for now_ms in 0..load::LENGTH_MS {
            self.work(now_ms, from_ms, &mut outcome);
            self.report(now_ms);
            // Arrivals are spread at random, with the given mean.
            due += load.rate(now_ms, self.engines.len()) * self.exponential();
            while due >= 1.0 {
                due -= 1.0;
                let gateway = self.draw_gateway();
                self.waiting.push(Waiting {
                    sent_ms: now_ms,
                    gateway,
                });
            }
            outcome.refused += self.admit_waiting(now_ms, from_ms);
        }
        outcome
    }

    /// Admits the requests that find a place. Returns how many of those that count have waited too
    /// long and are refused.
    fn admit_waiting(&mut self, now_ms: u64, from_ms: u64) -> usize {
        let mut refused = 0;
        for request in std::mem::take(&mut self.waiting) {
            if self.admit(now_ms, request) {
                continue;
            }
            if now_ms - request.sent_ms < MAX_WAIT_MS {
                self.waiting.push(request);
            } else {
                refused += usize::from(request.sent_ms >= from_ms);
            }
        }
        refused
    }

    fn at(&self, now_ms: u64) -> time::Instant {
        self.start + time::Duration::from_millis(now_ms)
    }

    fn work(&mut self, now_ms: u64, from_ms: u64, outcome: &mut outcome::Outcome) {
        let mut progress = Vec::new();
        for engine in &mut self.engines {
            engine.work(now_ms as f64, &mut progress);
        }
        for made in progress {
            match made {
                engine::Progress::FirstEvent(request) => {
                    let run = self.admitted[request];
                    self.loads[run.gateway][run.engine].receive_head(run.ticket);
                    let took_ms = now_ms + TRANSIT_MS - run.sent_ms;
                    let took = time::Duration::from_millis(took_ms);
                    self.latencies[run.gateway].record_first_event(took);
                    if run.sent_ms >= from_ms {
                        outcome.in_time += usize::from(took_ms <= TARGET_MS);
                        outcome.late += usize::from(took_ms > TARGET_MS);
                    }
                }
                engine::Progress::Finished(request) => {
                    let run = self.admitted[request];
                    self.loads[run.gateway][run.engine].finish_request(run.ticket);
                    let took = time::Duration::from_millis(now_ms + TRANSIT_MS - run.sent_ms);
                    self.latencies[run.gateway].record_duration(took);
                }
            }
        }
    }

    /// Sends the reports that are due. Engines report at different times.
    fn report(&mut self, now_ms: u64) {
        let received_at = self.at(now_ms + TRANSIT_MS);
        for i in 0..self.engines.len() {
            if !(now_ms + i as u64 * 7).is_multiple_of(REPORT_INTERVAL_MS) {
                continue;
            }
            let random = (self.draw() % 1_000_000) as f64 / 1_000_000.0;
            let engine = &self.engines[i];
            for loads in &mut self.loads {
                loads[i].record_sample(LoadSample {
                    requests: engine.requests(),
                    queued_prompts: engine.queued_prompts(),
                    random,
                    models: Vec::new(),
                    link_percent: Some(100),
                    is_loading: false,
                    received_at,
                });
            }
        }
    }

    /// Lets a gateway select an engine for a request. Returns whether the request was admitted.
    fn admit(&mut self, now_ms: u64, request: Waiting) -> bool {
        let gateway = request.gateway;
        let draw = self.draw();
        let now = self.at(now_ms);
        let read_ms = f64::from(engine::PROMPT_TOKENS) / engine::READ_TOKENS_PER_MS;
        let target = time::Duration::from_millis(TARGET_MS);
        let selector = BackendSelector {
            now,
            region: &self.gateways[gateway].region,
            distances: None,
            balance: None,
            gateways: &self.shares[gateway],
            weights: &lift_dispatch::WeightsRequirement::default(),
            queue_share: self.latencies[gateway].queue_share(target),
            prefill_time: time::Duration::from_secs_f64(read_ms / 1_000.0),
            target_latency: target,
            allowed_regions: &lift_fleet::AllowedRegions::default(),
            tried: &[],
        };
        let loads = &self.loads[gateway];
        let with_load = |backend: &Backend, score: ScoreFn<'_>| score(&loads[position(backend)]);
        let Ok(backend) = selector.select(&self.backends, &with_load, draw) else {
            return false;
        };
        let engine = position(&backend);
        if !self.engines[engine].accept(self.admitted.len()) {
            return false;
        }
        let ticket = self.loads[gateway][engine].start_request(now);
        self.admitted.push(Admitted {
            sent_ms: request.sent_ms,
            gateway,
            engine,
            ticket,
        });
        true
    }

    /// The gateway that gets the next request.
    fn draw_gateway(&mut self) -> usize {
        let total: f64 = self.demand.iter().sum();
        let mut rest = (self.draw() % 1_000_000) as f64 / 1_000_000.0 * total;
        for (gateway, demand) in self.demand.iter().enumerate() {
            if rest < *demand {
                return gateway;
            }
            rest -= demand;
        }
        self.demand.len() - 1
    }

    /// A random number, the same in each run.
    fn draw(&mut self) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 16) as usize
    }

    /// A random number with an exponential distribution and a mean of 1.
    fn exponential(&mut self) -> f64 {
        let uniform = (self.draw() % 1_000_000 + 1) as f64 / 1_000_001.0;
        -uniform.ln()
    }
}

fn gateway(host: u32, region: &str) -> lift_types::Location {
    lift_types::Location {
        region: String::from(region),
        failure_domain: format!("{region}-1"),
        host,
    }
}

fn backend(position: usize, region: &str) -> sync::Arc<Backend> {
    sync::Arc::new(Backend {
        id: format!("s{position}"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 8_000 + position as u16)),
        region: Some(String::from(region)),
        failure_domain: format!("{region}-1"),
        slots: engine::SLOTS,
        models: Vec::new(),
        is_silent: false,
    })
}

fn position(backend: &Backend) -> usize {
    usize::from(backend.address.port() - 8_000)
}
