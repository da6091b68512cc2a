//! Brings the pieces of one version into the staging area.

use std::{net, sync, time};

use rand::{RngExt as _, seq::SliceRandom as _};
use sync::atomic;
use tokio::sync::watch;

use crate::{fetch_links, fetch_log, fetch_progress, piece_message, shared, stage_error, staged};

/// Time between two looks at requests that are late.
const CLOCK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Ticks between two looks at the origin while an older version is finished.
const TICKS_PER_CHECK: u32 = 6;

/// Time without a connection to an upstream after which the origin is read in its place.
const UPSTREAM_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Agents that read at once, on average, where all are stuck.
const STUCK_AGENTS: usize = 3;

/// Pieces that a stuck agent reads from the origin at once.
const STUCK_READS: usize = 2;

/// Requests in progress, to all agents and to one.
const WINDOW: (usize, usize) = (6, 2);

/// First and shortest time-out of a request for a piece. A piece takes about 30 ms on a free
/// link of 7 Mbit/s, and some wait before it.
const TIMEOUTS: (time::Duration, time::Duration) = (
    time::Duration::from_millis(2_000),
    time::Duration::from_millis(700),
);

type Result<T> = std::result::Result<T, error_stack::Report<stage_error::StageError>>;

/// One transfer. Its decisions are made by `lift_transfer::Download` under one lock, which is
/// held for one step; the connections carry them out.
#[derive(Debug)]
pub(crate) struct Fetch {
    pub(crate) shared: sync::Arc<shared::Shared>,
    pub(crate) staged: sync::Arc<staged::Staged>,
    pub(crate) origin: net::SocketAddr,
    download: parking_lot::Mutex<lift_transfer::Download>,
    links: parking_lot::Mutex<fetch_links::FetchLinks>,
    /// Agents that can't be reached or are silent. Others take over what they are to read.
    suspects: parking_lot::Mutex<indexmap::IndexSet<lift_types::HostId>>,
    done: watch::Sender<bool>,
    /// Ends the reads from the origin, whose answers nobody needs after the transfer.
    pub(crate) stop: tokio_util::sync::CancellationToken,
    /// Ends the reads from the origin that have begun before it went away.
    pub(crate) reads: parking_lot::Mutex<tokio_util::sync::CancellationToken>,
    pub(crate) from_origin: atomic::AtomicU32,
    pub(crate) from_agents: atomic::AtomicU32,
}

impl Fetch {
    /// Brings all pieces of `staged` that it lacks, and returns once all are there.
    pub(crate) async fn run(
        shared: &sync::Arc<shared::Shared>,
        staged: sync::Arc<staged::Staged>,
        origin: &lift_fleet::OriginEndpoint,
    ) -> Result<()> {
        let cfg = lift_transfer::DownloadConfig::default()
            .window(WINDOW.0, WINDOW.1)
            .timeouts(TIMEOUTS.0, TIMEOUTS.1)
            .upstream_timeout(UPSTREAM_TIMEOUT)
            .origin_rate(origin.bytes_per_s);
        let chunks = staged.manifest.chunks();
        let download = lift_transfer::Download::new(&shared.card.location, chunks, cfg);
        let stop = tokio_util::sync::CancellationToken::new();
        let fetch = sync::Arc::new(Self {
            shared: sync::Arc::clone(shared),
            staged: sync::Arc::clone(&staged),
            origin: origin.address,
            download: parking_lot::Mutex::new(download),
            links: parking_lot::Mutex::default(),
            suspects: parking_lot::Mutex::default(),
            done: watch::Sender::new(false),
            reads: parking_lot::Mutex::new(stop.child_token()),
            stop,
            from_origin: atomic::AtomicU32::new(0),
            from_agents: atomic::AtomicU32::new(0),
        });
        for chunk in staged.all() {
            fetch.step(lift_transfer::DownloadEvent::Held { chunk });
        }
        let _stop = fetch.stop.clone().drop_guard();
        fetch.start_with_origin();
        let started = lift_clock::now();
        let result = fetch.follow().await;
        let took = lift_clock::now().saturating_duration_since(started);
        slog::info!(shared.log, "pieces fetched"; "version" => staged.manifest.version,
            "named_for_ms" => shared.named_for_ms(&staged.manifest),
            "is_whole" => staged.is_whole(),
            "held" => staged.all().len(), "took_ms" => took.as_millis() as u64,
            "from_origin" => fetch.from_origin.load(atomic::Ordering::Relaxed),
            "from_agents" => fetch.from_agents.load(atomic::Ordering::Relaxed));
        fetch.links.lock().clear();
        result
    }

    async fn follow(self: &sync::Arc<Self>) -> Result<()> {
        let mut done = self.done.subscribe();
        let mut nodes = self.shared.nodes.subscribe();
        let mut clock = tokio::time::interval(CLOCK_INTERVAL);
        self.set_view();
        let mut progress_log = fetch_log::ProgressLog::default();
        let mut progress = fetch_progress::Progress::new(self.staged.all().len());
        let mut ticks = 0_u32;
        loop {
            tokio::select! {
                _ = done.wait_for(|done| *done) => return Ok(()),
                _ = nodes.changed() => self.set_view(),
                _ = clock.tick() => {
                    let percent = self.shared.pressure.lock().allowed_percent(lift_clock::now());
                    self.step(lift_transfer::DownloadEvent::TrafficShare { percent });
                    self.step(lift_transfer::DownloadEvent::Tick { live: 0 });
                    self.check_newest()?;
                    ticks += 1;
                    // Nothing else may be read from the origin now.
                    if !self.shared.is_newest(&self.staged)
                        && ticks.is_multiple_of(TICKS_PER_CHECK)
                    {
                        self.check_origin();
                    }
                    progress_log.write(self, percent);
                    if progress.is_stuck(self.staged.all().len()) {
                        self.read_missing();
                    }
                }
            }
        }
    }

    /// Reads some of the missing pieces from the origin. Of many agents that are stuck together
    /// a few do so, or the origin would be busy with copies of the same pieces.
    fn read_missing(self: &sync::Arc<Self>) {
        self.shared.counters.increment("agent.fetch_stuck");
        if !self.shared.origin_monitor.answers() {
            return;
        }
        let agents = self.shared.agents().len();
        if rand::rng().random_range(0..agents.max(1)) >= STUCK_AGENTS {
            return;
        }
        let count = self.staged.manifest.digests.len() as lift_types::ChunkIndex;
        let mut missing: Vec<_> = (0..count).filter(|i| !self.staged.holds(*i)).collect();
        missing.shuffle(&mut rand::rng());
        for chunk in missing.into_iter().take(STUCK_READS) {
            self.request(chunk, lift_transfer::Source::Origin);
        }
    }

    fn check_newest(&self) -> Result<()> {
        let without_holder = self.download.lock().without_holder_count();
        let without_holder = u32::try_from(without_holder).unwrap_or(u32::MAX);
        let known = &self.staged.without_holder;
        known.store(without_holder, atomic::Ordering::Relaxed);
        if self.shared.is_superseded(&self.staged) {
            return Err(error_stack::Report::new(
                stage_error::StageError::Superseded,
            ));
        }
        let is_replaced = |o: lift_fleet::OriginEndpoint| o.address != self.origin;
        if self.shared.origin_endpoint().is_some_and(is_replaced) {
            let replaced = stage_error::StageError::OriginReplaced;
            return Err(error_stack::Report::new(replaced));
        }
        Ok(())
    }

    fn set_view(self: &sync::Arc<Self>) {
        let agents = self.shared.agents();
        let all = self.assign(&agents);
        let suspects = self.suspects.lock().clone();
        let sound: Vec<_> = agents
            .into_iter()
            .filter(|agent| !suspects.contains(&agent.location.host))
            .collect();
        let view = self.assign(&sound);
        // Connections to suspects are kept up, which shows when they are back.
        let gone = self.links.lock().set(self, &[&all, &view]);
        for host in gone {
            self.step(lift_transfer::DownloadEvent::PeerDown { host });
        }
        self.step(lift_transfer::DownloadEvent::View(view));
    }

    fn assign(&self, agents: &[lift_transfer::SwarmPeer]) -> lift_transfer::SwarmView {
        let goal = lift_types::TransferGoal::Origin;
        lift_transfer::compute_view(&self.shared.card.location, agents, goal)
    }

    /// Notes whether an agent can be reached, and assigns anew what it is to read.
    pub(crate) fn suspect(self: &sync::Arc<Self>, host: lift_types::HostId, is_lost: bool) {
        let is_new = match is_lost {
            true => self.suspects.lock().insert(host),
            false => self.suspects.lock().swap_remove(&host),
        };
        if is_new {
            slog::info!(self.shared.log, "agent suspected"; "host" => host, "lost" => is_lost);
            self.set_view();
        }
    }

    /// Takes in an event and carries out what follows.
    pub(crate) fn step(self: &sync::Arc<Self>, event: lift_transfer::DownloadEvent) {
        let now = lift_clock::now();
        // Requests time out at ticks. Other events cancel reads of pieces that are there already.
        let is_tick = matches!(event, lift_transfer::DownloadEvent::Tick { .. });
        let actions = self.download.lock().step(now, event, &mut rand::rng());
        for action in actions {
            match action {
                lift_transfer::DownloadAction::Request { chunk, source } => {
                    self.request(chunk, source);
                }
                // An answer that is no longer needed is dropped when it comes.
                lift_transfer::DownloadAction::Cancel { source, .. } => {
                    if is_tick && source == lift_transfer::Source::Origin {
                        self.check_origin();
                    }
                }
                lift_transfer::DownloadAction::VerifyWeights => {
                    self.done.send_replace(true);
                }
            }
        }
    }

    fn request(
        self: &sync::Arc<Self>,
        chunk: lift_types::ChunkIndex,
        source: lift_transfer::Source,
    ) {
        match source {
            lift_transfer::Source::Peer(host) => {
                self.links.lock().ask(host, chunk);
            }
            lift_transfer::Source::Origin => {
                let fetch = sync::Arc::clone(self);
                let reading = async move { fetch.read_origin(chunk).await };
                tokio::spawn(self.stop.clone().run_until_cancelled_owned(reading));
            }
        }
    }

    /// Keys of the links to other agents.
    pub(crate) fn keys(&self) -> &lift_wire::LinkKeys {
        &self.shared.keys
    }

    /// The first message to another agent.
    pub(crate) fn want(&self) -> piece_message::PieceMessage {
        piece_message::PieceMessage::Want {
            model: self.staged.manifest.model.clone(),
            version: self.staged.manifest.version,
        }
    }
}
