//! Downloads of a fleet in virtual time: an event queue in place of sockets and clocks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use lift_transfer::{
    Download, DownloadAction, DownloadConfig, DownloadEvent, HomeTable, Source, SwarmPeer,
};
use lift_types::{HostId, Manifest, Place, TransferGoal};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// Interval of clock events.
const TICK: Duration = Duration::from_millis(20);

/// Time after which the views no longer list a lost host.
const DETECTION: Duration = Duration::from_secs(2);

/// What a run goes through.
#[derive(Clone, Debug)]
pub struct Plan {
    pub hosts: u32,
    pub regions: u32,
    pub chunks: u32,
    pub goal: TransferGoal,
    /// Answers that are corrupt, in 100.
    pub corrupt: u32,
    /// Requests that are refused or never answered, in 100.
    pub failing: u32,
    /// Hosts that are lost, and after how many milliseconds.
    pub lost: Vec<(HostId, u16)>,
    pub seed: u64,
}

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Chunks held by each host that was not lost, as the bytes they were made from.
    pub held: BTreeMap<HostId, Vec<Option<u32>>>,
    /// Answers of the origin that were not corrupt.
    pub origin_reads: u64,
}

enum Event {
    Tick,
    /// A host gets news for its download.
    Deliver(HostId, DownloadEvent),
    /// An answer arrives at a host with the bytes of a chunk.
    Answer(HostId, u32, Source, Option<u32>),
    Lose(HostId),
    Refresh,
}

struct Fleet {
    plan: Plan,
    peers: BTreeMap<HostId, SwarmPeer>,
    downloads: BTreeMap<HostId, Download>,
    stores: BTreeMap<HostId, Vec<Option<u32>>>,
    queue: BTreeMap<(Instant, u64), Event>,
    number: u64,
    rng: SmallRng,
    origin_reads: u64,
}

/// Every host reads each chunk from the origin: the plan that others are compared with.
pub fn naive(plan: &Plan) -> Outcome {
    let lost: BTreeSet<_> = plan.lost.iter().map(|(host, _)| *host).collect();
    let left = (0..plan.hosts).filter(|host| !lost.contains(host));
    let whole: Vec<_> = (0..plan.chunks).map(Some).collect();
    Outcome {
        held: left.map(|host| (host, whole.clone())).collect(),
        origin_reads: u64::from(plan.hosts) * u64::from(plan.chunks),
    }
}

/// Runs the downloads of `plan` for at most `limit`.
pub fn run(plan: &Plan, limit: Duration) -> Outcome {
    let start = Instant::now();
    let mut fleet = Fleet::new(plan.clone());
    fleet.connect_all(start);
    fleet.push(start, Event::Refresh);
    fleet.push(start, Event::Tick);
    for (host, after) in plan.lost.clone() {
        let at = start + Duration::from_millis(u64::from(after));
        fleet.push(at, Event::Lose(host));
        fleet.push(at + DETECTION, Event::Refresh);
    }
    while let Some(((now, _), event)) = fleet.queue.pop_first() {
        let is_done = fleet.downloads.values().all(Download::is_whole);
        if is_done || now > start + limit {
            break;
        }
        fleet.take(now, event);
    }
    let lost: BTreeSet<_> = plan.lost.iter().map(|(host, _)| *host).collect();
    fleet.stores.retain(|host, _| !lost.contains(host));
    Outcome {
        held: fleet.stores,
        origin_reads: fleet.origin_reads,
    }
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let bytes: Vec<u8> = (0..plan.chunks).flat_map(u32::to_le_bytes).collect();
        let manifest = Arc::new(Manifest::of(String::from("v1"), &bytes, 4));
        let place = |host: u32| Place {
            region: format!("region-{}", host % plan.regions),
            failure_domain: String::from("a"),
            host,
        };
        let peer = |host| SwarmPeer {
            place: place(host),
            incarnation: 1,
            chunk_addr: "127.0.0.1:1".parse().unwrap(),
        };
        let cfg = DownloadConfig::default().origin_rate(4_000);
        let download = |host| Download::new(&place(host), manifest.clone(), cfg.clone());
        let hosts = 0..plan.hosts;
        Self {
            peers: hosts.clone().map(|host| (host, peer(host))).collect(),
            downloads: hosts.clone().map(|host| (host, download(host))).collect(),
            stores: hosts
                .map(|host| (host, vec![None; plan.chunks as usize]))
                .collect(),
            queue: BTreeMap::new(),
            number: 0,
            rng: SmallRng::seed_from_u64(plan.seed),
            origin_reads: 0,
            plan,
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.number += 1;
        self.queue.insert((at, self.number), event);
    }

    fn connect_all(&mut self, now: Instant) {
        let places: Vec<_> = self.peers.values().map(|peer| peer.place.clone()).collect();
        for own in &places {
            for other in places.iter().filter(|other| *other != own) {
                let place = other.clone();
                let up = DownloadEvent::PeerUp { place };
                self.push(now, Event::Deliver(own.host, up));
                let (host, chunks) = (other.host, Vec::new());
                let have = DownloadEvent::Have { host, chunks };
                self.push(now, Event::Deliver(own.host, have));
            }
        }
    }

    fn take(&mut self, now: Instant, event: Event) {
        match event {
            Event::Tick => {
                let hosts: Vec<_> = self.downloads.keys().copied().collect();
                for host in hosts {
                    self.step(now, host, DownloadEvent::Clock { live: 0 });
                }
                self.push(now + TICK, Event::Tick);
            }
            Event::Deliver(host, event) => self.step(now, host, event),
            Event::Answer(host, chunk, source, bytes) => {
                self.answer(now, host, chunk, source, bytes);
            }
            Event::Lose(host) => self.lose(now, host),
            Event::Refresh => {
                let live = self.downloads.keys().map(|host| self.peers[host].clone());
                let homes = HomeTable::new(live.collect(), self.plan.goal);
                let hosts: Vec<_> = self.downloads.keys().copied().collect();
                for host in hosts {
                    let view = homes.view(&self.peers[&host].place);
                    self.step(now, host, DownloadEvent::View(view));
                }
            }
        }
    }

    fn lose(&mut self, now: Instant, host: HostId) {
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
        // The hash of the chunk stands for the bytes that it was made from.
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
        let fate = self.rng.random_range(0..100);
        if fate < self.plan.failing / 2 {
            return;
        }
        if fate < self.plan.failing {
            self.push(at, Event::Answer(host, chunk, source, None));
            return;
        }
        let is_corrupt = self.rng.random_range(0..100) < self.plan.corrupt;
        self.origin_reads += u64::from(source == Source::Origin && !is_corrupt);
        let bytes = held.map(|bytes| if is_corrupt { bytes + 1 } else { bytes });
        self.push(at, Event::Answer(host, chunk, source, bytes));
    }
}
