//! Shared state of the weight distribution at one agent.

use std::{fmt, net, sync};

use rand::seq::SliceRandom as _;
use tokio::sync as tokio_sync;
use tokio_util::{sync as util_sync, task};

use crate::{
    chunk_store, peer_link, staggered_announcements, swarm_limits, swarm_status, transfer,
    version_store,
};

/// Number of shards of the links, by host.
const LINK_SHARDS: usize = 8;

/// Interfaces to control, to the sources of weights, to the engine and to the request side.
#[derive(Clone, Debug)]
pub(crate) struct Ports {
    pub(crate) control: sync::Arc<dyn lift_rpc::ControlPort>,
    pub(crate) swarm: sync::Arc<dyn lift_rpc::SwarmPort>,
    pub(crate) origin: sync::Arc<dyn lift_border::Origin>,
    pub(crate) weight_store: Option<sync::Arc<dyn lift_border::WeightStore>>,
    pub(crate) engine: sync::Arc<dyn lift_border::Engine>,
    pub(crate) serving: sync::Arc<dyn lift_border::ServingControl>,
}

/// State that the tasks of an agent share. Each mutable part has its own lock, and no lock is
/// held across an await.
pub(crate) struct Agent {
    pub(crate) location: lift_types::Location,
    pub(crate) incarnation: lift_types::Incarnation,
    pub(crate) keys: lift_wire::LinkKeys,
    /// Source address of connections to other agents.
    pub(crate) local_ip: Option<net::IpAddr>,
    pub(crate) limits: swarm_limits::SwarmLimits,
    pub(crate) ports: Ports,
    /// Number of live requests in progress at this host.
    pub(crate) live: tokio_sync::watch::Receiver<u32>,
    pub(crate) chunks: sync::Arc<chunk_store::ChunkStore>,
    pub(crate) versions: sync::Arc<version_store::VersionStore>,
    pub(crate) links:
        lift_shard::Shards<indexmap::IndexMap<lift_types::HostId, peer_link::PeerLink>>,
    /// Agents to which connections are kept open.
    pub(crate) desired_peers: parking_lot::Mutex<Vec<lift_transfer::SwarmPeer>>,
    pub(crate) dial_now: tokio_sync::Notify,
    pub(crate) transfer: parking_lot::Mutex<Option<transfer::Transfer>>,
    /// Chunks stored since the last announcement to other agents.
    pub(crate) unannounced: parking_lot::Mutex<Vec<lift_types::ChunkIndex>>,
    pub(crate) staggered_announcements:
        parking_lot::Mutex<staggered_announcements::StaggeredAnnouncements>,
    pub(crate) announce_now: tokio_sync::Notify,
    pub(crate) uploads: parking_lot::Mutex<lift_transfer::UploadQueue>,
    pub(crate) upload_now: tokio_sync::Notify,
    pub(crate) upload_pacer: parking_lot::Mutex<Option<lift_transfer::Pacer>>,
    pub(crate) activation: parking_lot::Mutex<lift_transfer::Activation>,
    /// Version that the request side should serve, `None` to close it.
    pub(crate) gate: tokio_sync::watch::Sender<Option<lift_types::ServingVersion>>,
    pub(crate) status: tokio_sync::watch::Sender<swarm_status::SwarmStatus>,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) log: slog::Logger,
    pub(crate) tasks: task::TaskTracker,
    pub(crate) stop: util_sync::CancellationToken,
}

impl Agent {
    pub(crate) fn new_links()
    -> lift_shard::Shards<indexmap::IndexMap<lift_types::HostId, peer_link::PeerLink>> {
        lift_shard::Shards::new(LINK_SHARDS, |_| indexmap::IndexMap::new())
    }

    /// Spawns a task that runs `f` until it ends or the agent stops.
    pub(crate) fn spawn_until_stop(
        self: &sync::Arc<Self>,
        f: impl Future<Output = ()> + Send + 'static,
    ) {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = f => {}
            }
        });
    }

    /// Runs `f` on the thread pool of the runtime for blocking work. Returns `None` if `f`
    /// panicked.
    pub(crate) async fn run_blocking<T: Send + 'static>(
        f: impl FnOnce() -> T + Send + 'static,
    ) -> Option<T> {
        tokio::task::spawn_blocking(f).await.ok()
    }

    /// Returns the number of live requests in progress.
    pub(crate) fn live_requests(&self) -> u32 {
        *self.live.borrow()
    }

    /// Announces `chunks` to each connected agent that fetches the version of `manifest`. An
    /// agent gets only those in the key groups of its interest.
    pub(crate) fn announce_to_interested(
        &self,
        manifest: &lift_types::Manifest,
        chunks: &[lift_types::ChunkIndex],
    ) {
        self.links.for_each(|links| {
            for link in links.values() {
                let Some(interest) = &link.interest else {
                    continue;
                };
                let chunks = interest.filter(manifest, chunks);
                if !chunks.is_empty() {
                    let version = manifest.version.clone();
                    link.send(lift_wire::ChunkMessage::Have { version, chunks });
                }
            }
        });
    }

    /// Announces a chunk that is new in this region to a few interested neighbours, chosen at
    /// random, and to all interested agents of other regions.
    pub(crate) fn announce_to_first_receivers(
        &self,
        manifest: &lift_types::Manifest,
        chunk: lift_types::ChunkIndex,
    ) {
        let mut links = Vec::new();
        self.links.for_each(|shard| {
            let interested = shard.values().filter(|link| {
                let interest = link.interest.as_ref();
                interest.is_some_and(|i| !i.filter(manifest, &[chunk]).is_empty())
            });
            links.extend(interested.cloned());
        });
        links.shuffle(&mut rand::rng());
        let region = &self.location.region;
        let (neighbours, remote): (Vec<_>, Vec<_>) = links
            .iter()
            .partition(|link| link.location.region == *region);
        let first = neighbours
            .into_iter()
            .take(staggered_announcements::FIRST_RECEIVERS)
            .chain(remote);
        for link in first {
            let version = manifest.version.clone();
            let chunks = vec![chunk];
            link.send(lift_wire::ChunkMessage::Have { version, chunks });
        }
    }

    /// Queues `message` for an agent. Returns `false` if it is not connected, or if its queue is
    /// full or closed; in the latter case the connection is closed.
    pub(crate) fn send_to(
        &self,
        host: lift_types::HostId,
        message: lift_wire::ChunkMessage,
    ) -> bool {
        self.links.with(&host, |links| {
            links.get(&host).is_some_and(|link| link.send(message))
        })
    }
}

impl fmt::Debug for Agent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Agent")
            .field("location", &self.location)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}
