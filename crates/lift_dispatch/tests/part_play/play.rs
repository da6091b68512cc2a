//! The play itself.

use std::time;

use super::{counts, request, traffic};

/// The part that crashes backend servers.
pub(crate) const DEADLY: &str = "deadly";

const STEP: time::Duration = time::Duration::from_millis(10);
/// Time for which a backend server is down after it has ended.
const DOWN: time::Duration = time::Duration::from_secs(3);
/// Longest time of a sighting on its way to another gateway.
const NEWS_MS: u64 = 400;
/// Time after the beginning of an answer in which its request is suspected.
const BEGINNING: time::Duration = time::Duration::from_millis(100);

/// An observation that one gateway has made.
#[derive(Clone, Debug)]
struct Sighting {
    at: time::Instant,
    arrives: time::Instant,
    to: usize,
    observation: lift_fleet::PartObservation,
}

/// What a request does to the server that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Nature {
    Sound,
    WithDeadlyPart,
    Deadly,
}

pub(crate) struct Play {
    pub(crate) now: time::Instant,
    pub(crate) counts: counts::Counts,
    gateways: Vec<lift_dispatch::PartQuarantine>,
    /// Identifier of each backend server, and the time until which it is down.
    servers: Vec<(u64, time::Instant)>,
    requests: Vec<request::Request>,
    /// Number of requests that have arrived.
    arrived: u64,
    sightings: Vec<Sighting>,
    random: u64,
}

impl Play {
    pub(crate) fn new(gateways: usize, servers: usize, seed: u64) -> Self {
        let now = time::Instant::now() + time::Duration::from_secs(3_600);
        Self {
            now,
            counts: counts::Counts::default(),
            gateways: vec![lift_dispatch::PartQuarantine::default(); gateways],
            servers: (0..servers).map(|id| (id as u64, now)).collect(),
            requests: Vec::new(),
            arrived: 0,
            sightings: Vec::new(),
            random: seed,
        }
    }

    /// Plays for `ms` with the given numbers of requests a second, some with the deadly part.
    pub(crate) fn run(&mut self, ms: u64, sound: u64, with_deadly_part: u64) {
        self.run_with(
            ms,
            traffic::Traffic {
                sound,
                with_deadly_part,
                ..traffic::Traffic::default()
            },
        );
    }

    /// Plays for `ms`.
    pub(crate) fn run_with(&mut self, ms: u64, traffic: traffic::Traffic) {
        for _ in 0..ms / STEP.as_millis() as u64 {
            self.now += STEP;
            self.deliver();
            self.work();
            let steps_per_s = 1_000 / STEP.as_millis() as u64;
            let rates = [
                (traffic.sound, Nature::Sound),
                (traffic.with_deadly_part, Nature::WithDeadlyPart),
                (traffic.deadly, Nature::Deadly),
            ];
            // Plays without deadly requests draw the same numbers as before there were any.
            let kinds = if traffic.deadly > 0 { 3 } else { 2 };
            for (per_s, nature) in rates.into_iter().take(kinds) {
                let is_one_more = self.draw(steps_per_s) < per_s % steps_per_s;
                for _ in 0..per_s / steps_per_s + u64::from(is_one_more) {
                    self.arrive(nature, traffic);
                }
            }
        }
    }

    /// Ends `count` backend servers at once, whatever they work on.
    pub(crate) fn end_servers(&mut self, count: usize) {
        for _ in 0..count {
            if let Some(server) = self.running_server(None) {
                self.end_server(server);
            }
        }
    }

    /// Restarts a gateway, which then gets all earlier sightings again.
    pub(crate) fn restart(&mut self, gateway: usize) {
        self.gateways[gateway] = lift_dispatch::PartQuarantine::default();
        let mut copies = self.sightings.clone();
        copies.retain(|sighting| sighting.to == gateway || sighting.to == usize::MAX);
        copies.iter().for_each(|copy| self.receive(gateway, copy));
    }

    /// Gateways that refuse requests with `part` now.
    pub(crate) fn refusing(&self, part: &str) -> usize {
        self.refusing_all(&[String::from(part)])
    }

    /// Gateways that refuse the given deadly request now.
    pub(crate) fn refusing_request(&self, kind: u64) -> usize {
        self.refusing_all(&deadly_request(kind, false))
    }

    fn refusing_all(&self, parts: &[String]) -> usize {
        let is_refused =
            |gateway: &&lift_dispatch::PartQuarantine| gateway.blocked(self.now, parts).is_some();
        self.gateways.iter().filter(is_refused).count()
    }

    /// A random number below `limit`.
    fn draw(&mut self, limit: u64) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005) + 1;
        (self.random >> 33) % limit
    }

    /// A request arrives at a gateway. Callers are drawn with unequal shares.
    fn arrive(&mut self, nature: Nature, traffic: traffic::Traffic) {
        let caller = self.draw(10) * self.draw(10) / 9;
        self.arrived += 1;
        let mut parts = match traffic.is_plain {
            true => Vec::new(),
            false => vec![String::from("shared"), format!("caller {caller}")],
        };
        match nature {
            Nature::Sound if traffic.is_plain => {}
            Nature::Sound => parts.push(format!("document {}", self.draw(500))),
            Nature::WithDeadlyPart => parts.push(String::from(DEADLY)),
            Nature::Deadly => {
                let kind = self.draw(traffic.deadly_kinds);
                parts = deadly_request(kind, traffic.is_plain);
            }
        }
        if nature != Nature::Deadly && traffic.has_digests {
            parts.push(digest(self.arrived));
        }
        let gateway = self.draw(self.gateways.len() as u64) as usize;
        self.send(gateway, parts, nature != Nature::Sound, None);
    }

    fn send(&mut self, gateway: usize, parts: Vec<String>, is_deadly: bool, tried: Option<usize>) {
        let Some(server) = self.running_server(tried) else {
            return;
        };
        self.gateways[gateway].update(self.now);
        if self.gateways[gateway].blocked(self.now, &parts).is_some() {
            self.counts.sound_refused += usize::from(!is_deadly);
            return;
        }
        match is_deadly {
            true => self.counts.deadly_arrivals.push(self.now),
            false => self.counts.sound_arrivals += 1,
        }
        let begins = self.now + time::Duration::from_millis(30 + self.draw(200));
        let ends = begins + time::Duration::from_millis(400 + self.draw(800));
        self.requests.push(request::Request {
            parts,
            is_deadly,
            gateway,
            server,
            begins,
            ends,
            is_repeat: tried.is_some(),
        });
    }

    fn running_server(&mut self, tried: Option<usize>) -> Option<usize> {
        let is_up = |i: &usize| self.servers[*i].1 <= self.now && Some(*i) != tried;
        let up: Vec<usize> = (0..self.servers.len()).filter(is_up).collect();
        (!up.is_empty()).then(|| up[self.draw(up.len() as u64) as usize])
    }

    /// Ends backend servers that begin an answer on the deadly part, and completes answers.
    fn work(&mut self) {
        let now = self.now;
        let ends_server = |req: &&request::Request| req.begins <= now && req.is_deadly;
        while let Some(server) = self.requests.iter().find(ends_server).map(|r| r.server) {
            self.counts.crashes.push(self.now);
            self.end_server(server);
        }
        let is_complete = |req: &mut request::Request| req.ends <= now;
        let complete: Vec<_> = self.requests.extract_if(.., is_complete).collect();
        for req in complete {
            for part in req.parts {
                if self.gateways[req.gateway].record_answer(self.now, &part) {
                    self.report(req.gateway, lift_fleet::PartObservation::Answered { part });
                }
            }
        }
    }

    fn end_server(&mut self, server: usize) {
        let backend = self.servers[server].0.to_string();
        self.servers[server] = (self.draw(1 << 30), self.now + DOWN);
        let is_there = |req: &mut request::Request| req.server == server;
        let broken: Vec<_> = self.requests.extract_if(.., is_there).collect();
        for req in broken {
            let gateway = req.gateway;
            if self.now < req.begins + BEGINNING {
                let parts = req.parts.clone();
                self.gateways[gateway].record_crash(self.now, self.now, &backend, &parts);
                let backend = backend.clone();
                self.report(
                    gateway,
                    lift_fleet::PartObservation::Crash { backend, parts },
                );
            }
            let may_repeat = self.gateways[gateway].may_repeat(self.now, &req.parts);
            if may_repeat && !req.is_repeat {
                self.send(gateway, req.parts, req.is_deadly, Some(server));
            } else if !may_repeat && !req.is_deadly {
                self.counts.sound_given_up += 1;
            }
        }
    }

    /// Sends an observation to all gateways. A copy for nobody is kept for those that restart.
    fn report(&mut self, from: usize, observation: lift_fleet::PartObservation) {
        let others = (0..self.gateways.len()).filter(|to| *to != from);
        for to in others.chain([usize::MAX]) {
            let delay = time::Duration::from_millis(50 + self.draw(NEWS_MS - 50));
            let sighting = Sighting {
                at: self.now,
                arrives: self.now + delay,
                to,
                observation: observation.clone(),
            };
            self.sightings.push(sighting);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let arrives = |s: &mut Sighting| s.to != usize::MAX && s.arrives <= now;
        let arrived: Vec<_> = self.sightings.extract_if(.., arrives).collect();
        for sighting in arrived {
            self.receive(sighting.to, &sighting);
        }
    }

    fn receive(&mut self, gateway: usize, sighting: &Sighting) {
        let gateway = &mut self.gateways[gateway];
        match &sighting.observation {
            lift_fleet::PartObservation::Crash { backend, parts } => {
                gateway.record_crash(self.now, sighting.at, backend, parts);
            }
            lift_fleet::PartObservation::Answered { part } => {
                gateway.record_answer(sighting.at, part);
            }
        }
    }
}

fn digest(number: u64) -> String {
    let digest = lift_fleet::RequestDigest::new(u128::from(number).to_be_bytes());
    digest.as_suspect().clone()
}

/// Parts and digest of a deadly request. Sound requests share the parts.
fn deadly_request(kind: u64, is_plain: bool) -> Vec<String> {
    let digest = digest(u64::MAX - kind);
    match is_plain {
        true => vec![digest],
        false => vec![
            String::from("shared"),
            format!("caller {}", kind % 10),
            digest,
        ],
    }
}
