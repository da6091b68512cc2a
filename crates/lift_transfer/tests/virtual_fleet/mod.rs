//! Simulation of the downloads of a fleet in virtual time, driven by an event queue instead of
//! sockets and clocks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use lift_transfer::{
    Download, DownloadAction, DownloadConfig, DownloadEvent, HomeTable, Source, SwarmPeer,
};
use lift_types::{HostId, Location, Manifest, TransferGoal};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// Interval of tick events.
const TICK: Duration = Duration::from_millis(20);

/// Time after which views no longer list a lost host.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// Size and faults of a simulated run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub hosts: u32,
    pub regions: u32,
    pub chunks: u32,
    pub goal: TransferGoal,
    /// Share of responses that are corrupt, in percent.
    pub corrupt: u32,
    /// Share of requests that are refused or never answered, in percent.
    pub failing: u32,
    /// Hosts that are lost, each with the time of its loss in milliseconds.
    pub lost: Vec<(HostId, u16)>,
    pub seed: u64,
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Chunks held by each host that was not lost, as the values that they encode.
    pub held: BTreeMap<HostId, Vec<Option<u32>>>,
    /// Number of responses of the origin that were not corrupt.
    pub origin_reads: u64,
}

enum Event {
    Tick,
    /// A download event reaches a host.
    Deliver(HostId, DownloadEvent),
    /// The response to a chunk request arrives at a host, `None` if the source refused or
    /// lacked the chunk.
    Answer(HostId, u32, Source, Option<u32>),
    LoseHost(HostId),
    /// Every host receives a new view.
    Refresh,
}

struct Fleet {
    scenario: Scenario,
    peers: BTreeMap<HostId, SwarmPeer>,
    downloads: BTreeMap<HostId, Download>,
    stores: BTreeMap<HostId, Vec<Option<u32>>>,
    queue: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    rng: SmallRng,
    origin_reads: u64,
}

/// Returns the result of a run in which every host, including those that are lost, reads each
/// chunk from the origin.
pub fn run_naive(scenario: &Scenario) -> Outcome {
    let lost: BTreeSet<_> = scenario.lost.iter().map(|(host, _)| *host).collect();
    let remaining = (0..scenario.hosts).filter(|host| !lost.contains(host));
    let complete: Vec<_> = (0..scenario.chunks).map(Some).collect();
    Outcome {
        held: remaining.map(|host| (host, complete.clone())).collect(),
        origin_reads: u64::from(scenario.hosts) * u64::from(scenario.chunks),
    }
}

/// Simulates the downloads of `scenario` for at most `limit` of virtual time.
pub fn run(scenario: &Scenario, limit: Duration) -> Outcome {
    let start = Instant::now();
    let mut fleet = Fleet::new(scenario.clone());
    fleet.connect_all(start);
    fleet.push(start, Event::Refresh);
    fleet.push(start, Event::Tick);
    for (host, after) in scenario.lost.clone() {
        let at = start + Duration::from_millis(u64::from(after));
        fleet.push(at, Event::LoseHost(host));
        fleet.push(at + DETECTION_TIME, Event::Refresh);
    }
    while let Some(((now, _), event)) = fleet.queue.pop_first() {
        let is_done = fleet.downloads.values().all(Download::is_complete);
        if is_done || now > start + limit {
            break;
        }
        fleet.handle(now, event);
    }
    let lost: BTreeSet<_> = scenario.lost.iter().map(|(host, _)| *host).collect();
    fleet.stores.retain(|host, _| !lost.contains(host));
    Outcome {
        held: fleet.stores,
        origin_reads: fleet.origin_reads,
    }
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let bytes: Vec<u8> = (0..scenario.chunks).flat_map(u32::to_le_bytes).collect();
        let manifest = Arc::new(Manifest::of(String::from("v1"), &bytes, 4));
        let location = |host: u32| Location {
            region: format!("region-{}", host % scenario.regions),
            failure_domain: String::from("a"),
            host,
        };
        let peer = |host| SwarmPeer {
            location: location(host),
            incarnation: 1,
            chunk_addr: "127.0.0.1:1".parse().unwrap(),
        };
        let cfg = DownloadConfig::default().origin_rate(4_000);
        let download = |host| Download::new(&location(host), manifest.clone(), cfg.clone());
        let hosts = 0..scenario.hosts;
        Self {
            peers: hosts.clone().map(|host| (host, peer(host))).collect(),
            downloads: hosts.clone().map(|host| (host, download(host))).collect(),
            stores: hosts
                .map(|host| (host, vec![None; scenario.chunks as usize]))
                .collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(scenario.seed),
            origin_reads: 0,
            scenario,
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn connect_all(&mut self, now: Instant) {
        let locations: Vec<_> = self
            .peers
            .values()
            .map(|peer| peer.location.clone())
            .collect();
        for own in &locations {
            for other in locations.iter().filter(|other| *other != own) {
                let location = other.clone();
                let up = DownloadEvent::PeerUp { location };
                self.push(now, Event::Deliver(own.host, up));
                // An announcement without chunks shows that the other host fetches the version.
                let (host, chunks) = (other.host, Vec::new());
                let have = DownloadEvent::Have { host, chunks };
                self.push(now, Event::Deliver(own.host, have));
            }
        }
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Tick => {
                let hosts: Vec<_> = self.downloads.keys().copied().collect();
                for host in hosts {
                    self.step(now, host, DownloadEvent::Tick { live: 0 });
                }
                self.push(now + TICK, Event::Tick);
            }
            Event::Deliver(host, event) => self.step(now, host, event),
            Event::Answer(host, chunk, source, bytes) => {
                self.answer(now, host, chunk, source, bytes);
            }
            Event::LoseHost(host) => self.lose_host(now, host),
            Event::Refresh => {
                let live = self.downloads.keys().map(|host| self.peers[host].clone());
                let homes = HomeTable::new(live.collect(), self.scenario.goal);
                let hosts: Vec<_> = self.downloads.keys().copied().collect();
                for host in hosts {
                    let view = homes.view(&self.peers[&host].location);
                    self.step(now, host, DownloadEvent::View(view));
                }
            }
        }
    }

    fn lose_host(&mut self, now: Instant, host: HostId) {
        self.downloads.remove(&host);
        let others: Vec<_> = self.downloads.keys().copied().collect();
        for other in others {
            self.step(now, other, DownloadEvent::PeerDown { host });
        }
    }

    fn answer(
        &mut self,
        now: Instant,
        host: HostId,
        chunk: u32,
        source: Source,
        bytes: Option<u32>,
    ) {
        if !self.downloads.contains_key(&host) {
            return;
        }
        let Some(bytes) = bytes else {
            let retry_after = None;
            let event = DownloadEvent::Refused {
                chunk,
                source,
                retry_after,
            };
            self.step(now, host, event);
            return;
        };
        // Comparing values stands in for comparing hashes: chunk `i` encodes the value `i`.
        if bytes != chunk {
            self.step(now, host, DownloadEvent::Corrupt { chunk, source });
            return;
        }
        self.stores.get_mut(&host).unwrap()[chunk as usize] = Some(bytes);
        self.step(now, host, DownloadEvent::Arrived { chunk, source });
        let others: Vec<_> = self.downloads.keys().copied().collect();
        for other in others.into_iter().filter(|other| *other != host) {
            let chunks = vec![chunk];
            let later = now + Duration::from_millis(self.rng.random_range(1..30));
            self.push(
                later,
                Event::Deliver(other, DownloadEvent::Have { host, chunks }),
            );
        }
    }

    fn step(&mut self, now: Instant, host: HostId, event: DownloadEvent) {
        let Some(download) = self.downloads.get_mut(&host) else {
            return;
        };
        for action in download.step(now, event, &mut self.rng) {
            if let DownloadAction::Request { chunk, source } = action {
                self.request(now, host, chunk, source);
            }
        }
    }

    fn request(&mut self, now: Instant, host: HostId, chunk: u32, source: Source) {
        let held = match source {
            Source::Origin => Some(chunk),
            Source::Peer(peer) if self.downloads.contains_key(&peer) => {
                self.stores[&peer][chunk as usize]
            }
            // A lost host never answers.
            Source::Peer(_) => return,
        };
        let at = now + Duration::from_millis(self.rng.random_range(1..50));
        let roll = self.rng.random_range(0..100);
        if roll < self.scenario.failing / 2 {
            return;
        }
        if roll < self.scenario.failing {
            self.push(at, Event::Answer(host, chunk, source, None));
            return;
        }
        let is_corrupt = self.rng.random_range(0..100) < self.scenario.corrupt;
        self.origin_reads += u64::from(source == Source::Origin && !is_corrupt);
        let bytes = held.map(|bytes| if is_corrupt { bytes + 1 } else { bytes });
        self.push(at, Event::Answer(host, chunk, source, bytes));
    }
}
