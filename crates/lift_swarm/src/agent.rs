//! Shared state of the weight distribution at one agent.

use std::{fmt, net, sync};

use rand::seq::SliceRandom as _;
use tokio::sync as tokio_sync;
use tokio_util::{sync as util_sync, task};

use crate::{chunk_store, peer_link, seeds, swarm_limits, swarm_status, transfer, version_store};

/// Shards of the links, by host.
const LINK_SHARDS: usize = 8;

/// Systems at the borders of an agent.
#[derive(Clone, Debug)]
pub(crate) struct Borders {
    pub(crate) control: sync::Arc<dyn lift_rpc::ControlPort>,
    pub(crate) swarm: sync::Arc<dyn lift_rpc::SwarmPort>,
    pub(crate) origin: sync::Arc<dyn lift_border::Origin>,
    pub(crate) weight_store: Option<sync::Arc<dyn lift_border::WeightStore>>,
    pub(crate) engine: sync::Arc<dyn lift_border::Engine>,
    pub(crate) serving: sync::Arc<dyn lift_border::ServingControl>,
}

/// State that the tasks of an agent share. Each part has its own lock, which is held for
/// one step only.
pub(crate) struct Agent {
    pub(crate) location: lift_types::Location,
    pub(crate) incarnation: lift_types::Incarnation,
    pub(crate) keys: lift_wire::LinkKeys,
    /// Source address of connections to other agents.
    pub(crate) local_ip: Option<net::IpAddr>,
    pub(crate) limits: swarm_limits::SwarmLimits,
    pub(crate) borders: Borders,
    /// Live requests in progress at this host.
    pub(crate) live: tokio_sync::watch::Receiver<u32>,
    pub(crate) chunks: sync::Arc<chunk_store::ChunkStore>,
    pub(crate) versions: sync::Arc<version_store::VersionStore>,
    pub(crate) links:
        lift_shard::Shards<indexmap::IndexMap<lift_types::HostId, peer_link::PeerLink>>,
    /// Agents to be connected to.
    pub(crate) desired: parking_lot::Mutex<Vec<lift_transfer::SwarmPeer>>,
    pub(crate) dial_now: tokio_sync::Notify,
    pub(crate) transfer: parking_lot::Mutex<Option<transfer::Transfer>>,
    /// Chunks that were stored since the last message to the neighbours.
    pub(crate) fresh: parking_lot::Mutex<Vec<lift_types::ChunkIndex>>,
    pub(crate) seeds: parking_lot::Mutex<seeds::Seeds>,
    pub(crate) fresh_now: tokio_sync::Notify,
    pub(crate) uploads: parking_lot::Mutex<lift_transfer::UploadQueue>,
    pub(crate) upload_now: tokio_sync::Notify,
    pub(crate) upload_pacer: parking_lot::Mutex<Option<lift_transfer::Pacer>>,
    pub(crate) activation: parking_lot::Mutex<lift_transfer::Activation>,
    /// What the request side should serve.
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

    /// Runs `f` until it ends or the agent stops.
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

    /// Runs blocking work on a thread for it. `None` where the work panicked.
    pub(crate) async fn block<T: Send + 'static>(
        f: impl FnOnce() -> T + Send + 'static,
    ) -> Option<T> {
        tokio::task::spawn_blocking(f).await.ok()
    }

    /// Live requests in progress.
    pub(crate) fn live_requests(&self) -> u32 {
        *self.live.borrow()
    }

    /// Tells each linked agent that fetches the version of `manifest` about those of `chunks`
    /// that it wants to know about.
    pub(crate) fn tell_interested(
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

    /// Tells a few neighbours, and the agents of other regions that ask for it, about a chunk
    /// that this host has brought into its region.
    pub(crate) fn tell_first(
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
        let (near, far): (Vec<_>, Vec<_>) = links
            .iter()
            .partition(|link| link.location.region == *region);
        let first = near.into_iter().take(seeds::FIRST_TOLD).chain(far);
        for link in first {
            let version = manifest.version.clone();
            let chunks = vec![chunk];
            link.send(lift_wire::ChunkMessage::Have { version, chunks });
        }
    }

    /// Sends `message` to one agent, where it is linked.
    pub(crate) fn tell(&self, host: lift_types::HostId, message: lift_wire::ChunkMessage) -> bool {
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
