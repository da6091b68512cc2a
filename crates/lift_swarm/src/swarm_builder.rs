//! Builder of the weight distribution at one agent.

use std::{net as std_net, path, sync, time};

use error_stack::ResultExt as _;
use tokio::{net, sync as tokio_sync};

use crate::{
    activate, agent, chunk_store, dialer, serve_chunks, swarm, swarm_error, swarm_limits,
    swarm_status, target, version_store,
};

/// Pause before a failed registration is retried.
const REGISTER_RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

/// Timeout of one attempt to register.
const REGISTER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

type Result<T> = std::result::Result<T, error_stack::Report<swarm_error::SwarmError>>;

/// Configures the weight distribution of an agent. If a required setting is missing,
/// [`SwarmBuilder::start`] returns an error that names it.
#[derive(Debug, Default)]
pub struct SwarmBuilder {
    location: Option<lift_types::Location>,
    keys: Option<lift_wire::LinkKeys>,
    listen: Option<std_net::SocketAddr>,
    local_ip: Option<std_net::IpAddr>,
    data_dir: Option<path::PathBuf>,
    limits: swarm_limits::SwarmLimits,
    control: Option<sync::Arc<dyn lift_rpc::ControlPort>>,
    swarm: Option<sync::Arc<dyn lift_rpc::SwarmPort>>,
    origin: Option<sync::Arc<dyn lift_border::Origin>>,
    weight_store: Option<sync::Arc<dyn lift_border::WeightStore>>,
    engine: Option<sync::Arc<dyn lift_border::Engine>>,
    serving: Option<sync::Arc<dyn lift_border::ServingControl>>,
    live: Option<tokio_sync::watch::Receiver<u32>>,
    counters: Option<sync::Arc<lift_obs::Counters>>,
    log: Option<slog::Logger>,
}

impl SwarmBuilder {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Sets the location of the agent.
    pub fn location(mut self, location: lift_types::Location) -> Self {
        self.location = Some(location);
        self
    }

    /// Sets the keys of the links between agents.
    pub fn keys(mut self, keys: lift_wire::LinkKeys) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Sets the address on which the chunk server listens.
    pub fn listen(mut self, addr: std_net::SocketAddr) -> Self {
        self.listen = Some(addr);
        self
    }

    /// Sets the source address of connections to other agents, for hosts with several addresses.
    pub fn local_ip(mut self, ip: std_net::IpAddr) -> Self {
        self.local_ip = Some(ip);
        self
    }

    /// Sets the directory for chunks and versions. Files from an earlier run are verified and
    /// reused. A temporary directory is sufficient for a host without a persistent disk.
    pub fn data_dir(mut self, dir: path::PathBuf) -> Self {
        self.data_dir = Some(dir);
        self
    }

    /// Sets the limits and intervals.
    pub fn limits(mut self, limits: swarm_limits::SwarmLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the client for control operations.
    pub fn control(mut self, control: sync::Arc<dyn lift_rpc::ControlPort>) -> Self {
        self.control = Some(control);
        self
    }

    /// Sets the source of views of the swarm, which list the agents to exchange chunks with.
    pub fn swarm(mut self, swarm: sync::Arc<dyn lift_rpc::SwarmPort>) -> Self {
        self.swarm = Some(swarm);
        self
    }

    /// Sets the origin of weights.
    pub fn origin(mut self, origin: sync::Arc<dyn lift_border::Origin>) -> Self {
        self.origin = Some(origin);
        self
    }

    /// Sets the weight store, which is read before the origin.
    pub fn weight_store(mut self, store: sync::Arc<dyn lift_border::WeightStore>) -> Self {
        self.weight_store = Some(store);
        self
    }

    /// Sets the engine that loads the weights.
    pub fn engine(mut self, engine: sync::Arc<dyn lift_border::Engine>) -> Self {
        self.engine = Some(engine);
        self
    }

    /// Sets the request side of the agent, which is opened and closed around a load.
    pub fn serving(mut self, serving: sync::Arc<dyn lift_border::ServingControl>) -> Self {
        self.serving = Some(serving);
        self
    }

    /// Sets the receiver of the number of live requests in progress. Chunk traffic is reduced
    /// while it is above zero.
    pub fn live_requests(mut self, live: tokio_sync::watch::Receiver<u32>) -> Self {
        self.live = Some(live);
        self
    }

    /// Sets the counters of the process.
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = Some(counters);
        self
    }

    /// Sets the logger; without one nothing is logged.
    pub fn log(mut self, log: slog::Logger) -> Self {
        self.log = Some(log);
        self
    }

    /// Opens the stores and the listener, registers the agent and starts its tasks.
    /// Registration is retried until it succeeds.
    ///
    /// # Errors
    ///
    /// Returns an error if a required setting is missing, or if the data directory or the
    /// listen address can't be used.
    pub async fn start(self) -> Result<swarm::Swarm> {
        let location = required(self.location, "location")?;
        let addr = required(self.listen, "listen")?;
        let dir = required(self.data_dir, "data_dir")?;
        let ports = agent::Ports {
            control: required(self.control, "control")?,
            swarm: required(self.swarm, "swarm")?,
            origin: required(self.origin, "origin")?,
            weight_store: self.weight_store,
            engine: required(self.engine, "engine")?,
            serving: required(self.serving, "serving")?,
        };
        let keys = required(self.keys, "keys")?;
        let (chunks, versions) = open_stores(dir).await?;
        let listener = net::TcpListener::bind(addr)
            .await
            .change_context(swarm_error::SwarmError::Listen)?;
        let local_addr = listener
            .local_addr()
            .change_context(swarm_error::SwarmError::Listen)?;
        let incarnation = register(&ports, &location).await;
        let limits = self.limits;
        let log = self.log.unwrap_or_else(lift_obs::LogConfig::discard);
        let agent = sync::Arc::new(agent::Agent {
            log: log.new(slog::o!("host" => location.host, "incarnation" => incarnation)),
            location,
            incarnation,
            keys,
            local_ip: self.local_ip,
            ports,
            live: self.live.unwrap_or_else(|| tokio_sync::watch::channel(0).1),
            chunks,
            versions,
            links: agent::Agent::new_links(),
            desired_peers: parking_lot::Mutex::default(),
            dial_now: tokio_sync::Notify::new(),
            transfer: parking_lot::Mutex::new(None),
            unannounced: parking_lot::Mutex::default(),
            staggered_announcements: parking_lot::Mutex::default(),
            announce_now: tokio_sync::Notify::new(),
            uploads: parking_lot::Mutex::new(lift_transfer::UploadQueue::new(limits.upload_queue)),
            upload_now: tokio_sync::Notify::new(),
            upload_pacer: new_pacer(limits.upload_rate),
            activation: parking_lot::Mutex::new(lift_transfer::Activation::new(
                lift_transfer::ActivationConfig {
                    order_limit: limits.order_limit,
                    retry_after: limits.engine_retry,
                },
            )),
            gate: tokio_sync::watch::channel(None).0,
            status: tokio_sync::watch::channel(swarm_status::SwarmStatus {
                incarnation,
                ..swarm_status::SwarmStatus::default()
            })
            .0,
            counters: self.counters.unwrap_or_default(),
            tasks: tokio_util::task::TaskTracker::new(),
            stop: tokio_util::sync::CancellationToken::new(),
            limits,
        });
        spawn_tasks(&agent, listener);
        Ok(swarm::Swarm { agent, local_addr })
    }
}

fn required<T>(value: Option<T>, what: &'static str) -> Result<T> {
    value.ok_or_else(|| error_stack::Report::new(swarm_error::SwarmError::Unset { what }))
}

fn new_pacer(rate: Option<u64>) -> parking_lot::Mutex<Option<lift_transfer::Pacer>> {
    parking_lot::Mutex::new(rate.map(lift_transfer::Pacer::new))
}

type Stores = (
    sync::Arc<chunk_store::ChunkStore>,
    sync::Arc<version_store::VersionStore>,
);

async fn open_stores(dir: path::PathBuf) -> Result<Stores> {
    let open = move || {
        let chunks = sync::Arc::new(chunk_store::ChunkStore::open(dir.join("chunks"))?);
        let versions = version_store::VersionStore::open(dir.join("versions"), chunks.clone())?;
        Ok((chunks, sync::Arc::new(versions)))
    };
    agent::Agent::run_blocking(open)
        .await
        .unwrap_or_else(|| Err(error_stack::Report::new(swarm_error::SwarmError::Disk)))
}

/// Registers the agent and retries until it succeeds. All attempts use the same random start
/// id, so that a lost reply does not lead to a second incarnation.
async fn register(
    ports: &agent::Ports,
    location: &lift_types::Location,
) -> lift_types::Incarnation {
    let registration = lift_state::Registration {
        location: location.clone(),
        start_id: rand::random(),
    };
    loop {
        let register = ports.control.register(registration.clone());
        if let Ok(Ok(incarnation)) = tokio::time::timeout(REGISTER_TIMEOUT, register).await {
            return incarnation;
        }
        tokio::time::sleep(REGISTER_RETRY_DELAY).await;
    }
}

fn spawn_tasks(agent: &sync::Arc<agent::Agent>, listener: net::TcpListener) {
    let own = || agent.clone();
    agent.spawn_until_stop(serve_chunks::accept_connections(own(), listener));
    agent.spawn_until_stop(serve_chunks::announce_chunks(own()));
    agent.spawn_until_stop(dialer::run(own()));
    agent.spawn_until_stop(target::follow_policy(own()));
    agent.spawn_until_stop(target::send_ticks(own()));
    agent.spawn_until_stop(activate::run_gate(own()));
    agent.spawn_until_stop(activate::poll_engine(own()));
    agent.spawn_until_stop(activate::renew_lease(own()));
    for _ in 0..agent.limits.upload_slots {
        agent.tasks.spawn(serve_chunks::run_uploads(own()));
    }
}
