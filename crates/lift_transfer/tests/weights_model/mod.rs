//! Model of agents that exchange one version over links of limited rate, in virtual time.
//!
//! Transfers share each link evenly. The origin and the hosts are the only links that limit.
#![allow(dead_code)]

mod links;
mod outcome;
mod play;
mod setup;

pub use outcome::Outcome;
pub use play::Play;

use std::{collections, time};

use lift_transfer::{Download, DownloadAction, DownloadEvent, OriginWatch, Pacer, Source};

pub const MS: time::Duration = time::Duration::from_millis(1);

/// Step of the model.
const STEP: time::Duration = time::Duration::from_millis(2);

/// Time of a message between two hosts, and of a write to the staging area.
const DELAY: time::Duration = time::Duration::from_millis(5);

/// Interval at which agents look at time-outs, as in `lift_stage`.
const TICK: time::Duration = time::Duration::from_millis(50);

const REGIONS: u32 = 3;

/// Requests of its own region that wait at an agent, as in `lift_stage`. Others are refused.
const MAX_QUEUED: usize = 3;

/// Share of the host's link that pieces use, as in `lift_stage`.
const UPLOAD_SHARE: f64 = 0.92;

/// Share of that which the pacer leaves them while live requests run.
const LIVE_SHARE: f64 = 0.85;

struct Agent {
    download: Download,
    watch: OriginWatch,
    links: Vec<u32>,
    waiting: collections::VecDeque<(u32, u32)>,
    pacer: Pacer,
    next_send: time::Instant,
}

struct Transfer {
    source: Source,
    to: u32,
    chunk: u32,
    left: f64,
}

enum Event {
    Deliver(u32, DownloadEvent),
    Ask(u32, u32, u32),
    AskOrigin(u32, u32),
    OriginFailed(u32, u32),
    Probe(u32),
}

pub struct Model {
    play: Play,
    start: time::Instant,
    now: time::Instant,
    agents: Vec<Agent>,
    transfers: Vec<Transfer>,
    events: collections::BTreeMap<(time::Instant, u64), Event>,
    sequence: u64,
    rng: rand::rngs::SmallRng,
    outcome: Outcome,
}

/// Plays a version until all agents hold it, or until `limit`.
pub fn run(play: &Play, limit: time::Duration) -> Outcome {
    let mut model = Model::new(play.clone());
    while model.outcome.whole.len() < play.agents as usize && model.now < model.start + limit {
        model.advance();
    }
    model.outcome
}

impl Model {
    fn push(&mut self, after: time::Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    fn is_away(&self) -> bool {
        let since = self.now - self.start;
        self.play
            .away
            .is_some_and(|(from, to)| (from..to).contains(&since))
    }

    fn rate(&self, host: u32) -> f64 {
        self.play.host_rate_of(host)
    }

    fn advance(&mut self) {
        self.now += STEP;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let event = entry.remove();
            self.handle(event);
        }
        if self.is_away() {
            let failed = self
                .transfers
                .extract_if(.., |t| t.source == Source::Origin);
            let failed: Vec<_> = failed.map(|t| (t.to, t.chunk)).collect();
            for (to, chunk) in failed {
                self.push(DELAY, Event::OriginFailed(to, chunk));
            }
        }
        self.carry();
        let since = self.now - self.start;
        if since.as_millis().is_multiple_of(TICK.as_millis()) {
            (0..self.play.agents).for_each(|h| self.step(h, DownloadEvent::Tick { live: 0 }));
        }
        if std::env::var("TRACE").is_ok() && since.as_millis().is_multiple_of(250) {
            let up: collections::HashSet<_> = self.transfers.iter().map(|t| t.source).collect();
            let down: collections::HashSet<_> = self.transfers.iter().map(|t| t.to).collect();
            let held: usize = self.agents.iter().map(|a| a.download.held_count()).sum();
            let wait: usize = self.agents.iter().map(|a| a.waiting.len()).sum();
            let n = self.agents.len();
            let union: collections::HashSet<u32> = self
                .agents
                .iter()
                .flat_map(|a| a.download.held_chunks())
                .collect();
            let regs: Vec<usize> = (0..3)
                .map(|r| {
                    self.agents
                        .iter()
                        .enumerate()
                        .filter(|(i, _)| i % 3 == r)
                        .flat_map(|(_, a)| a.download.held_chunks())
                        .collect::<collections::HashSet<u32>>()
                        .len()
                })
                .collect();
            println!(
                "{since:?} up {} down {} of {n} avg held {} wait {wait} origin reads {} union {} regions {regs:?}",
                up.len(),
                down.len(),
                held / n,
                self.outcome.origin_reads,
                union.len()
            );
        }
        let most = self.agents.iter().map(|a| a.download.held_count()).max();
        for (seconds, held) in (1..).zip(&mut self.outcome.most_held) {
            if since <= time::Duration::from_secs(seconds) {
                *held = most.unwrap_or_default();
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(host, event) => {
                let arrived = match &event {
                    DownloadEvent::Arrived { chunk, .. } => Some(*chunk),
                    _ => None,
                };
                self.step(host, event);
                let Some(chunk) = arrived else { return };
                for other in 0..self.play.agents {
                    if self.agents[other as usize].links.contains(&host) {
                        let chunks = vec![chunk];
                        let have = DownloadEvent::Have { host, chunks };
                        self.push(DELAY, Event::Deliver(other, have));
                    }
                }
                let agent = &self.agents[host as usize];
                if agent.download.is_complete() {
                    let since = self.now - self.start;
                    self.outcome.whole.entry(host).or_insert(since);
                }
            }
            Event::Ask(from, to, chunk) => {
                let source = Source::Peer(from);
                let waiting = &mut self.agents[from as usize].waiting;
                if waiting.len() < MAX_QUEUED || to % REGIONS != from % REGIONS {
                    waiting.push_back((to, chunk));
                    return;
                }
                let retry_after = None;
                let event = DownloadEvent::Refused {
                    chunk,
                    source,
                    retry_after,
                };
                self.push(DELAY, Event::Deliver(to, event));
            }
            Event::AskOrigin(to, chunk) => {
                let reads = self.transfers.iter().filter(|t| t.source == Source::Origin);
                match self.is_away() || reads.count() >= self.play.connections {
                    true => self.push(DELAY, Event::OriginFailed(to, chunk)),
                    false => self.transfers.push(Transfer {
                        source: Source::Origin,
                        to,
                        chunk,
                        left: f64::from(self.play.piece_bytes),
                    }),
                }
            }
            Event::OriginFailed(host, chunk) => {
                let (source, retry_after) = (Source::Origin, None);
                let event = DownloadEvent::Refused {
                    chunk,
                    source,
                    retry_after,
                };
                self.step(host, event);
                if self.agents[host as usize].watch.record_failure(self.now) {
                    self.step(host, DownloadEvent::OriginAway);
                    self.push(DELAY, Event::Probe(host));
                }
            }
            Event::Probe(host) => self.probe(host),
        }
    }

    fn probe(&mut self, host: u32) {
        let (now, is_away) = (self.now, self.is_away());
        let watch = &mut self.agents[host as usize].watch;
        if is_away {
            let after = watch.next_probe(now, &mut self.rng);
            self.push(after, Event::Probe(host));
            return;
        }
        let away_for = watch.record_reached(now);
        self.step(host, DownloadEvent::OriginBack { away_for });
    }

    fn step(&mut self, host: u32, event: DownloadEvent) {
        let download = &mut self.agents[host as usize].download;
        for action in download.step(self.now, event, &mut self.rng) {
            let DownloadAction::Request { chunk, source } = action else {
                continue;
            };
            match source {
                Source::Origin => self.push(2 * DELAY, Event::AskOrigin(host, chunk)),
                Source::Peer(from) => self.push(DELAY, Event::Ask(from, host, chunk)),
            }
        }
    }
}
