//! What the tasks of an agent share.

use std::{net, sync, time};

use tokio::sync::watch;

use crate::{
    choice_state, engine_report, inventory, link_patience, origin_monitor, origin_port,
    piece_manifest, stage_error, stage_port, staged, staging_area,
};

/// Time for one request to the backend server beside the agent.
pub(crate) const BACKEND_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// State of an agent.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) card: lift_feed::NodeCard,
    pub(crate) backend: net::SocketAddr,
    pub(crate) service: lift_types::ServiceId,
    pub(crate) keys: lift_wire::LinkKeys,
    /// The backend server, for what changes nothing there.
    pub(crate) stage: sync::Arc<dyn stage_port::StagePort>,
    /// Its staging area.
    pub(crate) staging_area: staging_area::StagingArea,
    /// Digests of the pieces there.
    pub(crate) inventory: sync::Arc<inventory::Inventory>,
    pub(crate) origin: sync::Arc<dyn origin_port::OriginPort>,
    /// Whether the origin answers.
    pub(crate) origin_monitor: origin_monitor::OriginMonitor,
    pub(crate) log: slog::Logger,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    /// The configuration in force.
    pub(crate) table: watch::Sender<Option<sync::Arc<lift_fleet::RoutingTable>>>,
    /// Named versions of the weights.
    pub(crate) named: watch::Sender<lift_dispatch::TargetVersions>,
    /// The other nodes.
    pub(crate) nodes: watch::Sender<Vec<lift_feed::NodeCard>>,
    /// Spaces the pieces that are sent, so that answers of the backend server on the same link
    /// don't wait behind them. `None` where the rate of the link is not known.
    pub(crate) pacer: Option<parking_lot::Mutex<lift_transfer::Pacer>>,
    /// How crowded the link of the host is.
    pub(crate) pressure: parking_lot::Mutex<lift_transfer::CongestionEstimator>,
    /// The last report of the backend server, and when it came.
    pub(crate) report: watch::Sender<Option<(engine_report::EngineReport, time::Instant)>>,
    /// The version that another agent asked for last, where this one does not work on it.
    pub(crate) asked: watch::Sender<Option<(lift_fleet::ModelName, lift_fleet::WeightsVersion)>>,
    /// Whether an older version is finished before a newer one.
    pub(crate) choice_state: parking_lot::Mutex<choice_state::ChoiceState>,
    /// The version that is or was brought to the staging area last.
    pub(crate) staged: watch::Sender<Option<sync::Arc<staged::Staged>>>,
}

impl Shared {
    /// Agents of the same service, this one included.
    pub(crate) fn agents(&self) -> Vec<lift_transfer::SwarmPeer> {
        let nodes = self.nodes.borrow();
        let own = std::iter::once(&self.card);
        let others = nodes
            .iter()
            .filter(|card| card.location.host != self.card.location.host);
        own.chain(others)
            .filter(|card| card.kind == lift_feed::NodeKind::Agent)
            .filter(|card| card.service.as_deref() == Some(&self.service))
            .filter_map(|card| {
                Some(lift_transfer::SwarmPeer {
                    location: card.location.clone(),
                    incarnation: card.incarnation,
                    chunk_addr: card.piece_addr?,
                })
            })
            .collect()
    }

    /// Whether the node at `ip` is known to be in another region.
    pub(crate) fn is_in_other_region(&self, ip: net::IpAddr) -> bool {
        let nodes = self.nodes.borrow();
        let node = nodes
            .iter()
            .find(|card| card.piece_addr.is_some_and(|address| address.ip() == ip));
        node.is_some_and(|node| node.location.region != self.card.location.region)
    }

    /// Where the weights come from, as far as the configuration tells.
    pub(crate) fn origin_endpoint(&self) -> Option<lift_fleet::OriginEndpoint> {
        let table = self.table.borrow().clone()?;
        table.services().find_map(|s| s.origin.clone())
    }

    /// The model that the backend server is to serve.
    pub(crate) fn model(&self) -> Option<lift_fleet::ModelName> {
        let table = self.table.borrow().clone()?;
        let engine = table.service(&self.service)?.engine.as_ref()?;
        engine.models.first().cloned()
    }

    /// Time in which the backend server reads the usual prompt, as far as it is known.
    pub(crate) fn prefill_time(&self) -> Option<time::Duration> {
        let table = self.table.borrow().clone()?;
        table
            .service(&self.service)?
            .engine
            .as_ref()?
            .prefill_time()
    }

    /// How long to wait for other agents, as far as the own link is known.
    pub(crate) fn link_patience(&self) -> link_patience::LinkPatience {
        let percent = self.pressure.lock().allowed_percent(lift_clock::now());
        link_patience::LinkPatience::of_link(percent)
    }

    /// Newest named version of `model`, 0 where none was named.
    pub(crate) fn named(&self, model: &str) -> lift_fleet::WeightsVersion {
        self.named.borrow().newest(model)
    }

    /// Milliseconds since a version was named, or more, for the log.
    pub(crate) fn named_for_ms(&self, manifest: &piece_manifest::PieceManifest) -> Option<u64> {
        let before = manifest.version.checked_sub(1)?;
        let now = lift_clock::now();
        let named = self.named.borrow();
        let named_for = named.superseded_for(now, &manifest.model, before)?;
        Some(named_for.as_millis() as u64)
    }

    /// Reads what is staged as a piece, or `None` where there is nothing. It is not checked.
    pub(crate) async fn staged_piece(
        &self,
        manifest: &piece_manifest::PieceManifest,
        index: lift_types::ChunkIndex,
    ) -> Result<Option<bytes::Bytes>, error_stack::Report<stage_error::StageError>> {
        let (model, max_bytes) = (&manifest.model, manifest.max_piece_bytes());
        let reading = self.stage.get_piece(model, index, max_bytes);
        within(BACKEND_TIMEOUT, reading).await
    }

    /// Position of this agent among those of its region.
    pub(crate) fn position(&self) -> usize {
        let region = &self.card.location.region;
        let agents = self.agents();
        let before = agents.iter().filter(|agent| {
            agent.location.region == *region && agent.location.host < self.card.location.host
        });
        before.count()
    }

    /// When this agent may let the backend server load a newer version than `held`.
    pub(crate) fn load_turn(
        &self,
        model: &str,
        held: lift_fleet::WeightsVersion,
    ) -> lift_transfer::StaggeredLoad {
        let now = lift_clock::now();
        let time_left = self.named.borrow().time_left(now, model, held);
        lift_transfer::StaggeredLoad {
            position: self.position(),
            time_left: time_left.unwrap_or_default(),
        }
    }
}

/// Waits for a step, but not for ever.
pub(crate) async fn within<T>(
    limit: time::Duration,
    step: impl Future<Output = Result<T, error_stack::Report<stage_error::StageError>>>,
) -> Result<T, error_stack::Report<stage_error::StageError>> {
    match tokio::time::timeout(limit, step).await {
        Ok(result) => result,
        Err(_) => Err(error_stack::Report::new(stage_error::StageError::Timeout)),
    }
}
