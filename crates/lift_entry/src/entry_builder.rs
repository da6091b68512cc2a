//! Builder of an entry.

use std::{net, sync, sync::atomic, time};

use error_stack::ResultExt as _;

use crate::{
    admission, directory, entry, entry_error, entry_limits, heartbeat_receiver, host_loads,
    http_router, http_server, links, readiness, request_guard, shared,
};

/// Number of shards of the workspaces, and of the prefixes.
const SHARDS: usize = 32;

/// Interval at which closed connections to removed hosts are cleaned up.
const LINK_CLEANUP_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Builds an [`entry::Entry`]. Location, keys, control and platform are required.
#[derive(Debug)]
pub struct EntryBuilder {
    location: Option<lift_types::Location>,
    keys: Option<sync::Arc<lift_wire::LinkKeys>>,
    control: Option<sync::Arc<dyn lift_rpc::ControlPort>>,
    platform: Option<sync::Arc<dyn lift_border::Platform>>,
    http: net::SocketAddr,
    heartbeats: net::SocketAddr,
    limits: entry_limits::EntryLimits,
    budget: Option<sync::Arc<lift_listen::ByteBudget>>,
    counters: sync::Arc<lift_obs::Counters>,
    logger: slog::Logger,
}

impl EntryBuilder {
    pub(crate) fn new() -> Self {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        Self {
            location: None,
            keys: None,
            control: None,
            platform: None,
            http: any_port,
            heartbeats: any_port,
            limits: entry_limits::EntryLimits::default(),
            budget: None,
            counters: sync::Arc::default(),
            logger: lift_obs::LogConfig::discard(),
        }
    }

    /// Sets the location of the entry.
    pub fn location(mut self, location: lift_types::Location) -> Self {
        self.location = Some(location);
        self
    }

    /// Sets the keys that authenticate connections and heartbeats.
    pub fn keys(mut self, keys: sync::Arc<lift_wire::LinkKeys>) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Sets the port to control, which provides the policy in force and the claims.
    pub fn control(mut self, control: sync::Arc<dyn lift_rpc::ControlPort>) -> Self {
        self.control = Some(control);
        self
    }

    /// Sets the platform to which the readiness is reported.
    pub fn platform(mut self, platform: sync::Arc<dyn lift_border::Platform>) -> Self {
        self.platform = Some(platform);
        self
    }

    /// Sets the address for callers. With port 0 the system assigns a free port.
    pub fn http(mut self, addr: net::SocketAddr) -> Self {
        self.http = addr;
        self
    }

    /// Sets the UDP address for heartbeats. With port 0 the system assigns a free port.
    pub fn heartbeats(mut self, addr: net::SocketAddr) -> Self {
        self.heartbeats = addr;
        self
    }

    /// Counts bodies against the budget of the process. By default there is one of their own, for
    /// the smallest host.
    pub fn budget(mut self, budget: sync::Arc<lift_listen::ByteBudget>) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Sets the limits on requests and connections.
    pub fn limits(mut self, limits: entry_limits::EntryLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the counters, which are usually shared by the process.
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = counters;
        self
    }

    /// Sets the logger. By default nothing is logged.
    pub fn logger(mut self, logger: slog::Logger) -> Self {
        self.logger = logger;
        self
    }

    /// Opens the sockets and starts the tasks of the entry.
    ///
    /// # Errors
    ///
    /// Returns an error if a required setting is missing or a socket can't be opened.
    pub async fn start(self) -> Result<entry::Entry, error_stack::Report<entry_error::EntryError>> {
        let http_error = entry_error::EntryError::Bind { addr: self.http };
        let listener = tokio::net::TcpListener::bind(self.http)
            .await
            .change_context(http_error.clone())?;
        let udp_error = entry_error::EntryError::Bind {
            addr: self.heartbeats,
        };
        let socket = tokio::net::UdpSocket::bind(self.heartbeats)
            .await
            .change_context(udp_error.clone())?;
        let http_addr = listener.local_addr().change_context(http_error)?;
        let heartbeat_addr = socket.local_addr().change_context(udp_error)?;
        let shared = sync::Arc::new(self.into_shared()?);
        let closing = tokio_util::sync::CancellationToken::new();
        spawn(&shared, listener, socket, &closing);
        Ok(entry::Entry::new(
            shared,
            http_addr,
            heartbeat_addr,
            closing,
        ))
    }

    fn into_shared(self) -> Result<shared::Shared, entry_error::EntryError> {
        let missing = |setting: &str| entry_error::EntryError::Missing {
            setting: String::from(setting),
        };
        let location = self.location.ok_or_else(|| missing("location"))?;
        let keys = self.keys.ok_or_else(|| missing("keys"))?;
        let control = self.control.ok_or_else(|| missing("control"))?;
        let stopped = tokio_util::sync::CancellationToken::new();
        let counters = sync::Arc::clone(&self.counters);
        let guard = request_guard::RequestGuard::new(self.logger.clone(), self.counters.clone());
        // Ids start at a random number, so that ids of an earlier start are unlikely to occur
        // again and traces can be distinguished.
        let first_id = u64::from(rand::random::<u32>()) << 24;
        Ok(shared::Shared {
            directory: sync::Arc::new(directory::Directory::new(location.region.clone())),
            location,
            links: links::Links::new(sync::Arc::clone(&keys), counters, stopped.clone()),
            keys,
            policy: control.watch(),
            control,
            platform: self.platform.ok_or_else(|| missing("platform"))?,
            loads: sync::Arc::new(host_loads::HostLoads::new()),
            admission: sync::Arc::new(admission::Admission::new(self.limits.max_in_progress)),
            guard,
            limits: self.limits,
            budget: self.budget.unwrap_or_else(|| {
                lift_listen::ByteBudget::new(lift_listen::ByteBudget::DEFAULT_BYTES)
            }),
            workspaces: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            prefixes: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            counters: self.counters,
            logger: self.logger,
            next_id: atomic::AtomicU64::new(first_id),
            is_draining: atomic::AtomicBool::new(false),
            giving_up: tokio_util::sync::CancellationToken::new(),
            stopped,
        })
    }
}

fn spawn(
    shared: &sync::Arc<shared::Shared>,
    listener: tokio::net::TcpListener,
    socket: tokio::net::UdpSocket,
    closing: &tokio_util::sync::CancellationToken,
) {
    let clone = || sync::Arc::clone(shared);
    let router = http_router::router(clone());
    tokio::spawn(http_server::serve(
        clone(),
        listener,
        router,
        closing.clone(),
    ));
    tokio::spawn(heartbeat_receiver::receive(clone(), socket));
    tokio::spawn(readiness::report_changes(clone()));
    tokio::spawn(remove_closed_links(clone()));
    let directory = sync::Arc::clone(&shared.directory);
    tokio::spawn(directory.maintain(
        sync::Arc::clone(&shared.counters),
        shared.logger.clone(),
        shared.stopped.clone(),
    ));
}

/// Removes closed connections to removed hosts until the entry stops.
async fn remove_closed_links(shared: sync::Arc<shared::Shared>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(LINK_CLEANUP_INTERVAL) => {}
            () = shared.stopped.cancelled() => return,
        }
        let directory = &shared.directory;
        shared.links.retain(|host| directory.find(host).is_some());
    }
}
