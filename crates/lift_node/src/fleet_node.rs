//! The roles of one process of a fleet.

use std::{net, sync, time};

use error_stack::ResultExt as _;
use hyper_util::service;
use rand::RngExt as _;

use crate::{fleet_adapter, fleet_keys, fleet_limits, fleet_metrics, node_error};

/// Heartbeats of a backend server that may be missing before it counts as down.
const SILENT_HEARTBEATS: u32 = 4;

/// Part of the grace time for requests in progress. The rest is for closing files.
const DRAIN_PERCENT: u32 = 88;

/// Durations of the replicated log on small hosts, where each step may take a tenth of a
/// second and members are cut off and paused for seconds.
const TIMING: lift_consensus::Timing = lift_consensus::Timing {
    heartbeat_interval: time::Duration::from_millis(120),
    election_timeout: time::Duration::from_millis(800),
    election_jitter: time::Duration::from_millis(500),
    drift_percent: 5,
    sync_timeout: time::Duration::from_secs(1),
};

/// Bits in a megabit, over the bits in a byte.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Longest body of an operator, in bytes. A document with some thousand routes is about 1 MiB.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Connections of monitors that are open at once.
const MAX_METRICS_CONNECTIONS: usize = 64;

/// Connections of operators and backend servers that are open at once.
const MAX_CONTROL_CONNECTIONS: usize = 512;

type Result<T> = std::result::Result<T, error_stack::Report<node_error::NodeError>>;

/// A running node of a fleet whose backend servers announce themselves.
#[derive(Debug)]
pub struct FleetNode {
    control: Option<lift_registry::ControlMember>,
    gateway: Option<lift_gateway::Gateway>,
    agent: Option<lift_stage::StageAgent>,
    log: slog::Logger,
    _stop: tokio_util::sync::DropGuard,
}

/// What the roles of a node share.
#[derive(Debug)]
struct Context<'a> {
    settings: &'a lift_settings::FleetSettings,
    adapter: &'a dyn fleet_adapter::FleetAdapter,
    ports: lift_feed::FeedPorts,
    keys: lift_wire::LinkKeys,
    log: slog::Logger,
    metrics: fleet_metrics::FleetMetrics,
    stop: tokio_util::sync::CancellationToken,
    incarnation: lift_types::Incarnation,
    /// Memory for what operators and backend servers send.
    budget: sync::Arc<lift_listen::ByteBudget>,
}

impl FleetNode {
    /// Starts the roles of the settings.
    ///
    /// # Errors
    ///
    /// Returns an error where a role can't start.
    pub async fn start(
        settings: &lift_settings::FleetSettings,
        adapter: &dyn fleet_adapter::FleetAdapter,
        log: slog::Logger,
    ) -> Result<Self> {
        let log = log.new(slog::o!("node" => settings.node.clone()));
        let ports = lift_feed::FeedPorts::new(settings.ports.0..=settings.ports.1);
        let ports = ports.ok_or(node_error::NodeError::Settings)?;
        let stop = tokio_util::sync::CancellationToken::new();
        let cx = Context {
            settings,
            adapter,
            ports,
            keys: fleet_keys::keys(&settings.links)?,
            log: log.clone(),
            metrics: fleet_metrics::FleetMetrics {
                counters: sync::Arc::default(),
                latencies: sync::Arc::default(),
            },
            stop: stop.clone(),
            incarnation: rand::rng().random(),
            budget: lift_listen::ByteBudget::new(lift_listen::ByteBudget::bytes_for(
                settings.memory_mb,
            )),
        };
        if let Some(address) = settings.metrics {
            let router = cx.metrics.clone().router();
            cx.serve("metrics", MAX_METRICS_CONNECTIONS, address, router)
                .await?;
        }
        let node = Self {
            control: cx.control().await?,
            gateway: cx.gateway().await?,
            agent: cx.agent().await?,
            log,
            _stop: stop.drop_guard(),
        };
        slog::info!(node.log, "node started"; "region" => &settings.region,
            "failure_domain" => &settings.failure_domain,
            "first_start" => settings.first_start, "version" => env!("CARGO_PKG_VERSION"));
        Ok(node)
    }

    /// Takes over what may change while the node runs.
    pub fn reload(&self, settings: &lift_settings::FleetSettings) {
        slog::info!(self.log, "settings reloaded"; "seeds" => ?settings.seeds);
        if let Some(control) = &self.control {
            control.set_seeds(&settings.seeds);
        }
        if let Some(gateway) = &self.gateway {
            gateway.set_seeds(&settings.seeds);
        }
        if let Some(agent) = &self.agent {
            agent.set_seeds(&settings.seeds);
        }
    }

    /// Stops gracefully within `grace`. Returns whether all requests in progress have ended.
    pub async fn stop(self, grace: time::Duration) -> bool {
        slog::info!(self.log, "node stops"; "grace_ms" => grace.as_millis() as u64);
        if let Some(control) = &self.control {
            let _ = tokio::time::timeout(grace / 4, control.stop()).await;
        }
        let mut is_drained = true;
        if let Some(gateway) = &self.gateway {
            is_drained = gateway.stop(grace * DRAIN_PERCENT / 100).await;
        }
        slog::info!(self.log, "node stopped"; "drained" => is_drained);
        is_drained
    }
}

impl Context<'_> {
    fn card(&self, kind: lift_feed::NodeKind) -> lift_feed::NodeCard {
        let ip = net::IpAddr::from(self.settings.ip);
        let service = self.settings.agent.as_ref().map(|a| a.service.clone());
        lift_feed::NodeCard {
            kind,
            location: lift_types::Location {
                region: self.settings.region.clone(),
                failure_domain: self.settings.failure_domain.clone(),
                host: u32::from(self.settings.ip),
            },
            service: service.filter(|_| kind == lift_feed::NodeKind::Agent),
            incarnation: self.incarnation,
            load_addr: (kind == lift_feed::NodeKind::Gateway).then(|| self.ports.loads(ip)),
            piece_addr: (kind == lift_feed::NodeKind::Agent).then(|| self.ports.pieces(ip)),
        }
    }

    /// What the roles share, for a role of `kind`.
    fn node(&self, kind: lift_feed::NodeKind) -> Result<lift_feed::NodeSetup> {
        let setup = lift_feed::NodeSetup::builder()
            .card(self.card(kind))
            .ports(self.ports)
            .listen(self.settings.listen_ip.map(net::IpAddr::from))
            .seeds(self.settings.seeds.clone())
            .keys(self.keys.clone())
            .codec(self.adapter.codec())
            .logger(self.log.clone())
            .counters(self.metrics.counters.clone())
            .build();
        setup.change_context(node_error::NodeError::Settings)
    }

    async fn control(&self) -> Result<Option<lift_registry::ControlMember>> {
        let Some(cfg) = &self.settings.control else {
            return Ok(None);
        };
        let heartbeat = time::Duration::from_millis(self.settings.bounds.heartbeat_ms);
        let mut builder = lift_registry::ControlMember::builder()
            .node(self.node(lift_feed::NodeKind::Control)?)
            .folder(&cfg.data_dir)
            .control(cfg.listener)
            .timing(TIMING)
            .heartbeat_timeout(heartbeat * SILENT_HEARTBEATS);
        if self.settings.first_start {
            builder = builder.first_start();
        }
        for domain in self.settings.failure_domains.keys() {
            builder = builder.failure_domain(domain.clone());
        }
        let started = builder.start().await;
        let member = started.change_context(node_error::NodeError::Control)?;
        let counters = sync::Arc::clone(&self.metrics.counters);
        let router = self
            .adapter
            .control(member.control(), counters, self.log.clone());
        let mut listener = cfg.listener;
        if let Some(ip) = self.settings.listen_ip {
            listener.set_ip(net::IpAddr::from(ip));
        }
        self.serve("control", MAX_CONTROL_CONNECTIONS, listener, router)
            .await?;
        Ok(Some(member))
    }

    async fn gateway(&self) -> Result<Option<lift_gateway::Gateway>> {
        let Some(cfg) = &self.settings.gateway else {
            return Ok(None);
        };
        let mut builder = lift_gateway::Gateway::builder()
            .node(self.node(lift_feed::NodeKind::Gateway)?)
            .callers(cfg.callers)
            .readiness(cfg.readiness)
            .dialect(self.adapter.dialect())
            .limits(fleet_limits::gateway(&self.settings.bounds, cfg))
            .budget(sync::Arc::clone(&self.budget))
            .latencies(self.metrics.latencies.clone());
        for (domain, region) in &self.settings.failure_domains {
            builder = builder.failure_domain(domain.clone(), region.clone());
        }
        let started = builder.start().await;
        let gateway = started.change_context(node_error::NodeError::Entry)?;
        Ok(Some(gateway))
    }

    async fn agent(&self) -> Result<Option<lift_stage::StageAgent>> {
        let Some(cfg) = &self.settings.agent else {
            return Ok(None);
        };
        let started = lift_stage::StageAgent::builder()
            .node(self.node(lift_feed::NodeKind::Agent)?)
            .backend(cfg.backend)
            .weights_grace(fleet_limits::weights_grace(&self.settings.bounds))
            .link_bytes_per_s(cfg.link_mbps.map(|rate| (rate * BYTES_PER_MEGABIT) as u64))
            .stage(self.adapter.stage(cfg.backend))
            .origin(self.adapter.origin())
            .start()
            .await;
        let agent = started.change_context(node_error::NodeError::Agent)?;
        Ok(Some(agent))
    }

    /// Serves `router` until the node stops.
    async fn serve(
        &self,
        name: &'static str,
        max_connections: usize,
        address: net::SocketAddr,
        router: axum::Router,
    ) -> Result<()> {
        let listener = tokio::net::TcpListener::bind(address).await;
        let listener = listener.change_context(node_error::NodeError::Settings)?;
        let counters = &self.metrics.counters;
        let idle = lift_listen::IdleConnections::new(
            name,
            max_connections,
            sync::Arc::clone(counters),
            self.log.clone(),
        );
        let bodies = lift_listen::BodyBudget::new(
            name,
            MAX_BODY_BYTES,
            sync::Arc::clone(&self.budget),
            sync::Arc::clone(counters),
            self.log.clone(),
        );
        let limit = idle.accept_limit();
        let service = service::TowerToHyperService::new(bodies.limit(router));
        let connection = lift_listen::HttpConnection::for_operators();
        let handler = lift_listen::ServiceConnections::new(service, connection, idle);
        let handler = sync::Arc::new(handler);
        let serving = lift_listen::serve(listener, limit, handler, self.stop.clone());
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(serving));
        Ok(())
    }
}
