//! The journey of a version.
//!
//! Real: downloads, assignment, activation, leases, the activation gate, and the state
//! machine of control. Fake: network, origin, engines and disks.

use std::{collections, sync, time};

use lift_matrix::{Fault, SpreadStep};
use lift_state::{Command, CommandReply, GateDecision, LeaseReply, LeaseTable};
use lift_transfer::{Activation, ActivationAction, ActivationEvent, Download, DownloadAction};
use lift_transfer::{DownloadEvent, Source};
use rand::rngs;
use rand::{RngExt as _, SeedableRng as _};

use super::engine::Engine;

const HOSTS: u32 = 4;
/// Host that the fault hits.
const VICTIM: u32 = 0;
const TICK: u64 = 50;
const LEASE: time::Duration = time::Duration::from_secs(3);
const ORDER_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Time after which a silent connection is replaced, in ms.
const SILENCE: u64 = 2_000;
/// End of a run, in ms.
const END: u64 = 60_000;
const CHUNK: u32 = 16;
/// Time without a change after which a run has settled, in ms. Longer than any fault.
const SETTLED: u64 = 10_000;
const VERSIONS: [&str; 4] = ["v0", "v1", "v2", "v3"];

struct Host {
    is_up: bool,
    incarnation: u64,
    /// Counts starts of the process, so that what an earlier one asked for is dropped.
    epoch: u64,
    store: collections::HashSet<lift_types::ChunkHash>,
    download: Option<Download>,
    activation: Activation,
    engine: Engine,
    revision: u64,
    confirmed_at: u64,
    slow_until: u64,
    silent_until: u64,
    corrupt: u32,
    is_grant_lost: bool,
}

enum Delivery {
    Tick,
    Download {
        host: u32,
        epoch: u64,
        version: String,
        event: DownloadEvent,
    },
    Activation {
        host: u32,
        epoch: u64,
        event: ActivationEvent,
    },
    EngineDone {
        host: u32,
        epoch: u64,
        order: u64,
    },
    Revive {
        host: u32,
        then_kill: Option<u32>,
    },
}

struct World {
    rng: rngs::StdRng,
    base: time::Instant,
    now: u64,
    next: u64,
    queue: collections::BTreeMap<(u64, u64), Delivery>,
    control: lift_state::State,
    leases: LeaseTable,
    control_cut_until: u64,
    hosts: Vec<Host>,
    reached: Option<SpreadStep>,
    step: SpreadStep,
    faults: Vec<Fault>,
    /// Whether all hosts serve the first version and the journey has begun.
    has_begun: bool,
    settled_at: u64,
    context: String,
}

/// Runs one cell with several seeds.
pub fn run(step: SpreadStep, fault: Fault) {
    for seed in 0..super::SEEDS {
        let mut world = World::new(step, fault.parts(seed), seed);
        world.run_to(10_000);
        world.begin();
        world.run_to(END);
        world.check_end();
    }
}

fn weights(version: &str) -> Vec<u8> {
    // The versions share their first half.
    let fill = version.as_bytes()[1];
    let shared = (0..4).flat_map(|i| vec![i; CHUNK as usize]);
    let own = (0..4).flat_map(|i| vec![fill + i * 8; CHUNK as usize]);
    shared.chain(own).collect()
}

fn manifest(version: &str) -> sync::Arc<lift_types::Manifest> {
    static MANIFESTS: sync::OnceLock<Vec<sync::Arc<lift_types::Manifest>>> = sync::OnceLock::new();
    let all = MANIFESTS.get_or_init(|| {
        let of = |v: &str| lift_types::Manifest::of(String::from(v), &weights(v), CHUNK);
        VERSIONS.iter().map(|v| sync::Arc::new(of(v))).collect()
    });
    let found = all.iter().find(|manifest| manifest.version == version);
    sync::Arc::clone(found.expect("a known version"))
}

fn location(host: u32) -> lift_types::Location {
    let region = format!("r{}", host / 2);
    lift_types::Location {
        failure_domain: format!("{region}-a"),
        region,
        host,
    }
}

impl World {
    fn new(step: SpreadStep, faults: Vec<Fault>, seed: u64) -> Self {
        let base = time::Instant::now();
        let mut world = Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            base,
            now: 0,
            next: 0,
            queue: collections::BTreeMap::new(),
            control: lift_state::State::new(),
            leases: LeaseTable::new(LEASE, base),
            control_cut_until: 0,
            hosts: (0..HOSTS).map(|_| Host::new(seed)).collect(),
            reached: None,
            step,
            context: format!("seed {seed}, faults {faults:?}, step {step}"),
            faults,
            has_begun: false,
            settled_at: u64::MAX,
        };
        for version in VERSIONS {
            let manifest = manifest(version).as_ref().clone();
            world.control.apply(&Command::Publish(manifest));
        }
        world.change("v0", 0);
        for host in 0..HOSTS {
            world.start(host);
        }
        world.after(0, Delivery::Tick);
        world
    }

    fn begin(&mut self) {
        for host in 0..HOSTS {
            assert_eq!(
                self.serving(host).as_deref(),
                Some("v0"),
                "{}",
                self.context
            );
        }
        self.has_begun = true;
        self.change("v1", 1);
    }

    fn change(&mut self, version: &str, expected: u64) -> bool {
        let change = lift_state::ConfigChange {
            id: format!("{version} after {expected}"),
            expected,
            author: String::from("operator"),
            reason: String::from("new weights"),
            edits: vec![lift_state::ChangeEdit::SetDefaultVersion(String::from(
                version,
            ))],
        };
        let hash = lift_types::ChunkHash::of(change.id.as_bytes());
        let at = time::SystemTime::UNIX_EPOCH + time::Duration::from_millis(self.now);
        let reply = self.control.apply(&Command::Change { change, hash, at });
        matches!(
            reply,
            CommandReply::Change(lift_state::ChangeReply::Accepted { .. })
        )
    }

    fn start(&mut self, host: u32) {
        let registration = lift_state::Registration {
            location: location(host),
            start_id: self.rng.random(),
        };
        let reply = self.control.apply(&Command::Register(registration));
        let CommandReply::Registered(incarnation) = reply else {
            panic!("not registered: {reply:?}");
        };
        let state = &mut self.hosts[host as usize];
        state.is_up = true;
        state.incarnation = incarnation;
        state.epoch += 1;
        state.download = None;
        state.revision = 0;
        state.confirmed_at = 0;
        state.activation = activation();
    }

    fn run_to(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let delivery = entry.remove();
            self.deliver(delivery);
            self.check_now();
            if self.has_begun && self.has_settled() {
                break;
            }
        }
    }

    fn check_now(&self) {
        for host in &self.hosts {
            let Some(serving) = host.activation.serving().filter(|_| host.is_up) else {
                continue;
            };
            let manifest = manifest(&serving.version);
            assert_eq!(
                host.engine.loaded(),
                Some(manifest.whole),
                "engine: {}",
                self.context
            );
            let is_whole = manifest
                .chunks
                .iter()
                .all(|chunk| host.store.contains(chunk));
            assert!(is_whole, "advertised without chunks: {}", self.context);
        }
        let loses_hosts = self
            .faults
            .iter()
            .any(|fault| matches!(fault, Fault::HostDies | Fault::SecondLoss | Fault::Restart));
        if self.has_begun && !loses_hosts {
            for domain in [0, 2] {
                let count = (domain..domain + 2)
                    .filter(|h| self.serving(*h).is_some())
                    .count();
                assert!(
                    count >= 1,
                    "floor broken at {} ms: {}",
                    self.now,
                    self.context
                );
            }
        }
    }

    /// Whether nothing has changed for longer than any fault lasts.
    fn has_settled(&mut self) -> bool {
        let wanted = self.control.policy().default.version.clone();
        let follows = (0..HOSTS).all(|host| self.serving(host) == wanted);
        if !follows || self.reached.is_none() {
            self.settled_at = self.now + SETTLED;
        }
        self.now >= self.settled_at
    }

    fn check_end(&self) {
        assert!(self.reached.is_some(), "step not reached: {}", self.context);
        let wanted = self.control.policy().default.version.clone();
        for host in 0..HOSTS {
            assert_eq!(self.serving(host), wanted, "host {host}: {}", self.context);
        }
    }

    fn serving(&self, host: u32) -> Option<String> {
        let host = &self.hosts[host as usize];
        let serving = host.activation.serving().filter(|_| host.is_up)?;
        Some(serving.version.clone())
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick => {
                self.after(TICK, Delivery::Tick);
                for host in 0..HOSTS {
                    self.tick(host);
                }
            }
            Delivery::Download {
                host,
                epoch,
                version,
                event,
            } => {
                let state = &self.hosts[host as usize];
                let is_current = state
                    .download
                    .as_ref()
                    .is_some_and(|d| d.manifest().version == version);
                if state.is_up && state.epoch == epoch && is_current {
                    self.download(host, event);
                }
            }
            Delivery::Activation { host, epoch, event } => {
                let state = &self.hosts[host as usize];
                if state.is_up && state.epoch == epoch {
                    self.activate(host, event);
                }
            }
            Delivery::EngineDone { host, epoch, order } => self.engine_done(host, epoch, order),
            Delivery::Revive { host, then_kill } => {
                self.start(host);
                if let Some(next) = then_kill {
                    self.kill(next, None);
                }
            }
        }
    }

    fn tick(&mut self, host: u32) {
        if !self.hosts[host as usize].is_up {
            return;
        }
        if self.now >= self.control_cut_until {
            self.confirm(host);
            self.renew(host);
        } else if self.now > self.hosts[host as usize].confirmed_at + 2_500 {
            let revision = self.hosts[host as usize].revision;
            self.activate(
                host,
                ActivationEvent::TargetVersion {
                    version: None,
                    revision,
                },
            );
        }
        self.report(host);
        let download = &self.hosts[host as usize].download;
        if download
            .as_ref()
            .is_some_and(|download| !download.is_complete())
        {
            self.exchange(host);
            self.download(host, DownloadEvent::Tick { live: 0 });
        }
        self.activate(host, ActivationEvent::Tick);
    }

    fn confirm(&mut self, host: u32) {
        let policy = self.control.policy();
        let state = &mut self.hosts[host as usize];
        assert!(policy.revision >= state.revision);
        let is_new = policy.revision > state.revision;
        state.revision = policy.revision;
        state.confirmed_at = self.now;
        let version = policy.version_at(&location(host)).cloned();
        let revision = policy.revision;
        self.activate(
            host,
            ActivationEvent::TargetVersion {
                version: version.clone(),
                revision,
            },
        );
        if let Some(version) = version.filter(|_| is_new) {
            self.fetch(host, &version);
        }
    }

    fn fetch(&mut self, host: u32, version: &str) {
        if self.hosts[host as usize].download.is_some() {
            self.download(host, DownloadEvent::Superseded);
        }
        let manifest = manifest(version);
        let cfg = lift_transfer::DownloadConfig::default();
        let download = Download::new(&location(host), sync::Arc::clone(&manifest), cfg);
        self.hosts[host as usize].download = Some(download);
        self.reach(SpreadStep::ManifestRead, host);
        let indexes = (0_u32..).zip(&manifest.chunks);
        for (chunk, hash) in indexes {
            if self.hosts[host as usize].store.contains(hash) {
                self.download(host, DownloadEvent::Held { chunk });
            }
        }
    }

    fn exchange(&mut self, host: u32) {
        let peers: Vec<_> = (0..HOSTS)
            .filter(|h| self.hosts[*h as usize].is_up)
            .map(|h| self.peer(h))
            .collect();
        let goal = lift_types::TransferGoal::Origin;
        let view = lift_transfer::compute_view(&location(host), &peers, goal);
        self.download(host, DownloadEvent::View(view));
        if self.hosts[host as usize].silent_until > self.now {
            return;
        }
        for peer in (0..HOSTS).filter(|peer| *peer != host) {
            let other = &self.hosts[peer as usize];
            let Some(download) = &self.hosts[host as usize].download else {
                return;
            };
            if !other.is_up || other.silent_until > self.now {
                continue;
            }
            let hashes = (0_u32..).zip(&download.manifest().chunks);
            let chunks = hashes
                .filter(|(_, hash)| other.store.contains(*hash))
                .map(|(i, _)| i)
                .collect();
            self.download(
                host,
                DownloadEvent::PeerUp {
                    location: location(peer),
                },
            );
            self.download(host, DownloadEvent::Have { host: peer, chunks });
        }
    }

    fn peer(&self, host: u32) -> lift_transfer::SwarmPeer {
        lift_transfer::SwarmPeer {
            location: location(host),
            incarnation: self.hosts[host as usize].incarnation,
            chunk_addr: ([127, 0, 0, 1], 7_000 + host as u16).into(),
        }
    }

    fn download(&mut self, host: u32, event: DownloadEvent) {
        let now = self.base + time::Duration::from_millis(self.now);
        let Some(download) = &mut self.hosts[host as usize].download else {
            return;
        };
        let is_arrival = matches!(event, DownloadEvent::Arrived { .. });
        let actions = download.step(now, event, &mut self.rng);
        if is_arrival {
            self.reach(SpreadStep::ChunkArrived, host);
        }
        for action in actions {
            match action {
                DownloadAction::Request { chunk, source } => self.request(host, chunk, source),
                DownloadAction::Cancel { .. } => {}
                DownloadAction::VerifyWeights => self.verify(host),
            }
        }
    }

    fn request(&mut self, host: u32, chunk: u32, source: Source) {
        let Some(download) = &self.hosts[host as usize].download else {
            return;
        };
        let version = download.manifest().version.clone();
        let hash = download.manifest().chunks[chunk as usize];
        let epoch = self.hosts[host as usize].epoch;
        let delay = self.delay(host, source);
        let event = match source {
            Source::Peer(peer) if self.is_silent(host, peer) => {
                let event = DownloadEvent::PeerDown { host: peer };
                return self.after(
                    SILENCE,
                    Delivery::Download {
                        host,
                        epoch,
                        version,
                        event,
                    },
                );
            }
            Source::Peer(peer) if !self.hosts[peer as usize].is_up => {
                DownloadEvent::PeerDown { host: peer }
            }
            Source::Peer(peer) if !self.hosts[peer as usize].store.contains(&hash) => {
                DownloadEvent::Missing { chunk, host: peer }
            }
            _ if self.hosts[host as usize].corrupt > 0 => {
                self.hosts[host as usize].corrupt -= 1;
                DownloadEvent::Corrupt { chunk, source }
            }
            _ => {
                self.hosts[host as usize].store.insert(hash);
                DownloadEvent::Arrived { chunk, source }
            }
        };
        self.after(
            delay,
            Delivery::Download {
                host,
                epoch,
                version,
                event,
            },
        );
        self.reach(SpreadStep::ChunkRequested, host);
    }

    fn verify(&mut self, host: u32) {
        let Some(download) = &self.hosts[host as usize].download else {
            return;
        };
        let manifest = sync::Arc::clone(download.manifest());
        let (version, hash) = (manifest.version.clone(), manifest.whole);
        self.activate(host, ActivationEvent::Complete { version, hash });
        self.reach(SpreadStep::WholeVerified, host);
    }

    fn renew(&mut self, host: u32) {
        let now = self.base + time::Duration::from_millis(self.now);
        let state = &self.hosts[host as usize];
        let renewal = lift_state::LeaseRenewal {
            location: location(host),
            incarnation: state.incarnation,
            serving: state.activation.serving().cloned(),
        };
        let registered = self.control.incarnation(host).expect("registered");
        if let LeaseReply::Renewed { valid_for } = self.leases.renew(now, &renewal, registered) {
            let until = now + valid_for;
            self.activate(host, ActivationEvent::LeaseRenewed { until });
        }
    }

    fn report(&mut self, host: u32) {
        let Some(status) = self.hosts[host as usize].engine.report() else {
            return;
        };
        let (version, hash, fencing) = status;
        self.activate(
            host,
            ActivationEvent::Reported {
                version,
                hash,
                fencing,
            },
        );
    }

    fn activate(&mut self, host: u32, event: ActivationEvent) {
        let now = self.base + time::Duration::from_millis(self.now);
        if matches!(event, ActivationEvent::Loaded { .. }) {
            self.reach(SpreadStep::EngineConfirmed, host);
            if !self.hosts[host as usize].is_up {
                return;
            }
        }
        let actions = self.hosts[host as usize].activation.step(now, event);
        for action in actions {
            self.act(host, action);
        }
    }

    fn act(&mut self, host: u32, action: ActivationAction) {
        let epoch = self.hosts[host as usize].epoch;
        match action {
            ActivationAction::RequestGrant {
                version,
                revision,
                serving,
            } => {
                let event = self.grant(host, version, revision, serving);
                let delay = self.rng.random_range(1..10);
                self.after(delay, Delivery::Activation { host, epoch, event });
                self.reach(SpreadStep::GrantRequested, host);
            }
            ActivationAction::CloseAndDrain => {
                let event = ActivationEvent::Drained { in_progress: 0 };
                let delay = self.rng.random_range(1..200);
                self.after(delay, Delivery::Activation { host, epoch, event });
                self.reach(SpreadStep::Draining, host);
            }
            ActivationAction::Load {
                version,
                hash,
                fencing,
            } => {
                let engine = &mut self.hosts[host as usize].engine;
                let order = engine.begin(version, hash, fencing, &self.context);
                let delay = self.rng.random_range(20..900);
                self.after(delay, Delivery::EngineDone { host, epoch, order });
                self.reach(SpreadStep::LoadOrdered, host);
            }
            ActivationAction::Advertise(_) => self.reach(SpreadStep::Advertised, host),
            ActivationAction::Withdraw => {}
        }
    }

    fn grant(
        &mut self,
        host: u32,
        version: String,
        revision: u64,
        serving: Option<lift_types::ServingVersion>,
    ) -> ActivationEvent {
        let retry_after = time::Duration::from_millis(100);
        let not_granted = ActivationEvent::NotGranted { retry_after };
        if self.now < self.control_cut_until {
            return not_granted;
        }
        let now = self.base + time::Duration::from_millis(self.now);
        let incarnation = self.hosts[host as usize].incarnation;
        let req = lift_state::ActivationRequest {
            location: location(host),
            incarnation,
            serving,
            version,
            revision,
        };
        let decision = self
            .leases
            .decide_activation(now, &req, &self.control.policy());
        if decision != GateDecision::Grant {
            return not_granted;
        }
        let reply = self.control.apply(&Command::Fence { host, incarnation });
        let CommandReply::Fenced(fencing) = reply else {
            self.leases.cancel_grant(&req);
            return not_granted;
        };
        self.leases.confirm_grant(&req, fencing);
        if std::mem::take(&mut self.hosts[host as usize].is_grant_lost) {
            return not_granted;
        }
        ActivationEvent::Granted {
            fencing,
            until: now + LEASE,
        }
    }

    fn engine_done(&mut self, host: u32, epoch: u64, order: u64) {
        let event = match self.hosts[host as usize].engine.finish(order) {
            Some((version, hash, fencing)) => {
                let (version, hash) = (Some(version), Some(hash));
                ActivationEvent::Loaded {
                    version,
                    hash,
                    fencing,
                }
            }
            None => ActivationEvent::LoadFailed,
        };
        self.after(1, Delivery::Activation { host, epoch, event });
    }

    fn reach(&mut self, step: SpreadStep, host: u32) {
        if !self.has_begun || host != VICTIM || self.reached.is_some() || step != self.step {
            return;
        }
        self.reached = Some(step);
        for fault in self.faults.clone() {
            self.inject(fault);
        }
    }

    fn inject(&mut self, fault: Fault) {
        let now = self.now;
        let victim = &mut self.hosts[VICTIM as usize];
        match fault {
            Fault::HostDies => self.kill(VICTIM, None),
            Fault::SecondLoss => self.kill(VICTIM, Some(VICTIM + 1)),
            Fault::LinkStalls => victim.slow_until = now + 3_000,
            Fault::DataCorrupt => victim.corrupt = 3,
            Fault::ControlPartitioned => self.control_cut_until = now + 6_000,
            Fault::AnswerLost => victim.is_grant_lost = true,
            Fault::ConnectionSilent => victim.silent_until = now + SILENCE,
            Fault::VersionChanges => {
                let revision = self.control.policy().revision;
                assert!(self.change("v2", revision));
            }
            Fault::Race => {
                let revision = self.control.policy().revision;
                let won = [self.change("v2", revision), self.change("v3", revision)];
                assert_eq!(won, [true, false], "{}", self.context);
            }
            Fault::Restart => {
                victim.is_up = false;
                self.after(
                    100,
                    Delivery::Revive {
                        host: VICTIM,
                        then_kill: None,
                    },
                );
            }
            Fault::TwoAtOnce => unreachable!("parts are single faults"),
        }
    }

    fn kill(&mut self, host: u32, then_kill: Option<u32>) {
        let state = &mut self.hosts[host as usize];
        state.is_up = false;
        state.engine.die();
        self.after(1_000, Delivery::Revive { host, then_kill });
    }

    fn is_silent(&self, host: u32, peer: u32) -> bool {
        let until = self.hosts[host as usize].silent_until;
        until.max(self.hosts[peer as usize].silent_until) > self.now
    }

    fn delay(&mut self, host: u32, source: Source) -> u64 {
        let late = self.hosts[host as usize]
            .slow_until
            .saturating_sub(self.now);
        let most = if source == Source::Origin { 80 } else { 30 };
        late + self.rng.random_range(5..most)
    }

    fn after(&mut self, delay: u64, delivery: Delivery) {
        self.next += 1;
        self.queue.insert((self.now + delay, self.next), delivery);
    }
}

impl Host {
    fn new(seed: u64) -> Self {
        Self {
            is_up: false,
            incarnation: 0,
            epoch: 0,
            store: collections::HashSet::new(),
            download: None,
            activation: activation(),
            engine: Engine::new(seed.is_multiple_of(2)),
            revision: 0,
            confirmed_at: 0,
            slow_until: 0,
            silent_until: 0,
            corrupt: 0,
            is_grant_lost: false,
        }
    }
}

fn activation() -> Activation {
    let cfg = lift_transfer::ActivationConfig {
        order_limit: ORDER_LIMIT,
        retry_after: time::Duration::from_millis(200),
    };
    Activation::new(cfg)
}
