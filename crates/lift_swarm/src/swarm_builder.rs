//! Builder of the weight distribution at one agent.

use std::{net as std_net, path, sync, time};

use error_stack::ResultExt as _;
use tokio::{net, sync as tokio_sync};

use crate::{
    activate, agent, chunk_store, dialer, serve_chunks, swarm, swarm_error, swarm_limits,
    swarm_status, target, version_store,
};

/// Pause before a failed registration is repeated.
const REGISTER_RETRY: time::Duration = time::Duration::from_millis(250);

/// Time for one attempt to register.
const REGISTER_LIMIT: time::Duration = time::Duration::from_secs(5);

type Result<T> = std::result::Result<T, error_stack::Report<swarm_error::SwarmError>>;

/// Describes an agent. What has no default and was not given is named by the error of
/// [`SwarmBuilder::start`].
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

    /// Sets where the agent is.
    pub fn location(mut self, location: lift_types::Location) -> Self {
        self.location = Some(location);
        self
    }

    /// Sets the keys of the links between agents.
    pub fn keys(mut self, keys: lift_wire::LinkKeys) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Sets the address of the chunk server.
    pub fn listen(mut self, addr: std_net::SocketAddr) -> Self {
        self.listen = Some(addr);
        self
    }

    /// Sets the source address of connections to other agents, for hosts with several.
    pub fn local_ip(mut self, ip: std_net::IpAddr) -> Self {
        self.local_ip = Some(ip);
        self
    }

    /// Sets the directory for chunks and whole versions. What is there is verified and used
    /// again. A temporary directory will do for a host without a disk of its own.
    pub fn data_dir(mut self, dir: path::PathBuf) -> Self {
        self.data_dir = Some(dir);
        self
    }

    /// Sets limits and times.
    pub fn limits(mut self, limits: swarm_limits::SwarmLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the control operations.
    pub fn control(mut self, control: sync::Arc<dyn lift_rpc::ControlPort>) -> Self {
        self.control = Some(control);
        self
    }

    /// Sets where the agent learns about other agents.
    pub fn swarm(mut self, swarm: sync::Arc<dyn lift_rpc::SwarmPort>) -> Self {
        self.swarm = Some(swarm);
        self
    }

    /// Sets the origin of weights.
    pub fn origin(mut self, origin: sync::Arc<dyn lift_border::Origin>) -> Self {
        self.origin = Some(origin);
        self
    }

    /// Sets the weight store that is asked before the origin.
    pub fn weight_store(mut self, store: sync::Arc<dyn lift_border::WeightStore>) -> Self {
        self.weight_store = Some(store);
        self
    }

    /// Sets the engine.
    pub fn engine(mut self, engine: sync::Arc<dyn lift_border::Engine>) -> Self {
        self.engine = Some(engine);
        self
    }

    /// Sets the request side of the agent.
    pub fn serving(mut self, serving: sync::Arc<dyn lift_border::ServingControl>) -> Self {
        self.serving = Some(serving);
        self
    }

    /// Sets the number of live requests in progress, to which chunk traffic yields.
    pub fn live_requests(mut self, live: tokio_sync::watch::Receiver<u32>) -> Self {
        self.live = Some(live);
        self
    }

    /// Sets the counters of the process.
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = Some(counters);
        self
    }

    /// Sets the logger.
    pub fn log(mut self, log: slog::Logger) -> Self {
        self.log = Some(log);
        self
    }

    /// Opens the stores and the port, registers the agent and starts its tasks. Registration
    /// is repeated until control answers.
    ///
    /// # Errors
    ///
    /// Returns an error where something is not set, or the data directory or the port can't
    /// be used.
    pub async fn start(self) -> Result<swarm::Swarm> {
        let location = set(self.location, "location")?;
        let addr = set(self.listen, "listen")?;
        let dir = set(self.data_dir, "data_dir")?;
        let borders = agent::Borders {
            control: set(self.control, "control")?,
            swarm: set(self.swarm, "swarm")?,
            origin: set(self.origin, "origin")?,
            weight_store: self.weight_store,
            engine: set(self.engine, "engine")?,
            serving: set(self.serving, "serving")?,
        };
        let keys = set(self.keys, "keys")?;
        let (chunks, versions) = open_stores(dir).await?;
        let listener = net::TcpListener::bind(addr)
            .await
            .change_context(swarm_error::SwarmError::Listen)?;
        let local_addr = listener
            .local_addr()
            .change_context(swarm_error::SwarmError::Listen)?;
        let incarnation = register(&borders, &location).await;
        let limits = self.limits;
        let log = self.log.unwrap_or_else(lift_obs::LogConfig::discard);
        let agent = sync::Arc::new(agent::Agent {
            log: log.new(slog::o!("host" => location.host, "incarnation" => incarnation)),
            location,
            incarnation,
            keys,
            local_ip: self.local_ip,
            borders,
            live: self.live.unwrap_or_else(|| tokio_sync::watch::channel(0).1),
            chunks,
            versions,
            links: agent::Agent::new_links(),
            desired: parking_lot::Mutex::default(),
            dial_now: tokio_sync::Notify::new(),
            transfer: parking_lot::Mutex::new(None),
            fresh: parking_lot::Mutex::default(),
            seeds: parking_lot::Mutex::default(),
            fresh_now: tokio_sync::Notify::new(),
            uploads: parking_lot::Mutex::new(lift_transfer::UploadQueue::new(limits.upload_queue)),
            upload_now: tokio_sync::Notify::new(),
            upload_pacer: pacer(limits.upload_rate),
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

fn set<T>(value: Option<T>, what: &'static str) -> Result<T> {
    value.ok_or_else(|| error_stack::Report::new(swarm_error::SwarmError::Unset { what }))
}

fn pacer(rate: Option<u64>) -> parking_lot::Mutex<Option<lift_transfer::Pacer>> {
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
    agent::Agent::block(open)
        .await
        .unwrap_or_else(|| Err(error_stack::Report::new(swarm_error::SwarmError::Disk)))
}

/// Registers under one random number until control answers, so that a lost answer does not
/// give two incarnations.
async fn register(
    borders: &agent::Borders,
    location: &lift_types::Location,
) -> lift_types::Incarnation {
    let registration = lift_state::Registration {
        location: location.clone(),
        start_id: rand::random(),
    };
    loop {
        let register = borders.control.register(registration.clone());
        if let Ok(Ok(incarnation)) = tokio::time::timeout(REGISTER_LIMIT, register).await {
            return incarnation;
        }
        tokio::time::sleep(REGISTER_RETRY).await;
    }
}

fn spawn_tasks(agent: &sync::Arc<agent::Agent>, listener: net::TcpListener) {
    let own = || agent.clone();
    agent.spawn_until_stop(serve_chunks::accept(own(), listener));
    agent.spawn_until_stop(serve_chunks::announce(own()));
    agent.spawn_until_stop(dialer::run(own()));
    agent.spawn_until_stop(target::follow(own()));
    agent.spawn_until_stop(target::tick(own()));
    agent.spawn_until_stop(activate::gate(own()));
    agent.spawn_until_stop(activate::poll_engine(own()));
    agent.spawn_until_stop(activate::renew(own()));
    for _ in 0..agent.limits.upload_slots {
        agent.tasks.spawn(serve_chunks::upload(own()));
    }
}
