//! A running agent.

use std::{net, sync};

use error_stack::ResultExt as _;
use tokio::sync::watch;

use crate::{
    agent_observer, inventory, load_reporter, origin_monitor, piece_server, shared,
    stage_agent_builder, stage_error, staging_area, weights_keeper,
};

/// Share of the link for pieces, in percent. Framing and acknowledgements take the rest.
const UPLOAD_PERCENT: u64 = 92;

type Result<T> = std::result::Result<T, error_stack::Report<stage_error::StageError>>;

/// Serves the backend server beside it until it is dropped. It holds nothing that a stop could
/// lose: requests don't pass through it, and the pieces stay in the staging area.
#[derive(Debug)]
pub struct StageAgent {
    feed: lift_feed::FeedClient,
    _stop: tokio_util::sync::DropGuard,
}

impl StageAgent {
    /// Collects the settings.
    pub fn builder() -> stage_agent_builder::StageAgentBuilder {
        stage_agent_builder::StageAgentBuilder::default()
    }

    pub(crate) async fn start(settings: stage_agent_builder::StageAgentBuilder) -> Result<Self> {
        let missing = stage_error::StageError::Missing;
        let node = settings.node.ok_or(missing("node"))?;
        let host = node.listen_host();
        let listener = tokio::net::TcpListener::bind(node.ports.pieces(host)).await;
        let listener = listener.change_context(stage_error::StageError::Listen)?;
        let reports = tokio::net::UdpSocket::bind((host, 0)).await;
        let reports = reports.change_context(stage_error::StageError::Listen)?;
        let stage = settings.stage.ok_or(missing("stage"))?;
        let inventory = sync::Arc::<inventory::Inventory>::default();
        let origin = settings.origin.ok_or(missing("origin"))?;
        let shared = sync::Arc::new(shared::Shared {
            service: node.card.service.clone().ok_or(missing("service"))?,
            card: node.card.clone(),
            backend: settings.backend.ok_or(missing("backend"))?,
            keys: node.keys.clone(),
            staging_area: staging_area::StagingArea::new(
                sync::Arc::clone(&stage),
                sync::Arc::clone(&inventory),
                node.log.clone(),
                sync::Arc::clone(&node.counters),
            ),
            stage,
            inventory,
            origin_monitor: origin_monitor::OriginMonitor::new(
                sync::Arc::clone(&origin),
                node.log.clone(),
                sync::Arc::clone(&node.counters),
            ),
            origin,
            log: node.log.clone(),
            counters: sync::Arc::clone(&node.counters),
            table: watch::Sender::new(None),
            named: watch::Sender::new(lift_dispatch::TargetVersions::new(settings.weights_grace)),
            nodes: watch::Sender::new(Vec::new()),
            pacer: settings.link_bytes_per_s.map(pacer),
            pressure: parking_lot::Mutex::default(),
            report: watch::Sender::new(None),
            asked: watch::Sender::new(None),
            choice_state: parking_lot::Mutex::default(),
            staged: watch::Sender::new(None),
        });
        let observer = agent_observer::AgentObserver {
            shared: sync::Arc::clone(&shared),
        };
        let feed = lift_feed::FeedClient::start(node, sync::Arc::new(observer));
        let stop = tokio_util::sync::CancellationToken::new();
        let run = |task: Task| {
            tokio::spawn(stop.clone().run_until_cancelled_owned(task));
        };
        run(Box::pin(load_reporter::run(
            sync::Arc::clone(&shared),
            reports,
        )));
        run(Box::pin(piece_server::run(
            sync::Arc::clone(&shared),
            listener,
        )));
        run(Box::pin(weights_keeper::run(shared)));
        Ok(Self {
            feed,
            _stop: stop.drop_guard(),
        })
    }

    /// Replaces the seeds, for instance after a change of the settings.
    pub fn set_seeds(&self, seeds: &[net::SocketAddr]) {
        self.feed.set_seeds(seeds);
    }
}

fn pacer(link_bytes_per_s: u64) -> parking_lot::Mutex<lift_transfer::Pacer> {
    let rate = link_bytes_per_s * UPLOAD_PERCENT / 100;
    parking_lot::Mutex::new(lift_transfer::Pacer::new(rate))
}

type Task = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;
