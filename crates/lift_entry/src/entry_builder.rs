//! Describes an entry.

use std::{net, sync, sync::atomic, time};

use error_stack::ResultExt as _;

use crate::{
    admission, directory, entry, entry_error, entry_limits, front, heartbeat_receiver, host_loads,
    http_server, links, readiness, shared,
};

/// Number of shards of workspaces and prefixes.
const SHARDS: usize = 32;

/// Time between two looks for closed connections to hosts that are gone.
const LINK_LOOK: time::Duration = time::Duration::from_millis(500);

/// Builds an [`entry::Entry`]. Location, keys, control and platform must be given.
#[derive(Debug)]
pub struct EntryBuilder {
    location: Option<lift_types::Location>,
    keys: Option<sync::Arc<lift_wire::LinkKeys>>,
    control: Option<sync::Arc<dyn lift_rpc::ControlPort>>,
    platform: Option<sync::Arc<dyn lift_border::Platform>>,
    http: net::SocketAddr,
    heartbeats: net::SocketAddr,
    limits: entry_limits::EntryLimits,
    counters: sync::Arc<lift_obs::Counters>,
    logger: slog::Logger,
}

impl EntryBuilder {
    pub(crate) fn new() -> Self {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        Self {
            location: None,
            keys: None,
            control: None,
            platform: None,
            http: any,
            heartbeats: any,
            limits: entry_limits::EntryLimits::default(),
            counters: sync::Arc::default(),
            logger: lift_obs::LogConfig::discard(),
        }
    }

    /// Where the entry is.
    pub fn location(mut self, location: lift_types::Location) -> Self {
        self.location = Some(location);
        self
    }

    /// Link keys.
    pub fn keys(mut self, keys: sync::Arc<lift_wire::LinkKeys>) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Control, for the policy in force and for claims.
    pub fn control(mut self, control: sync::Arc<dyn lift_rpc::ControlPort>) -> Self {
        self.control = Some(control);
        self
    }

    /// Platform that is told of the readiness.
    pub fn platform(mut self, platform: sync::Arc<dyn lift_border::Platform>) -> Self {
        self.platform = Some(platform);
        self
    }

    /// Address for callers. A port of zero lets the system choose.
    pub fn http(mut self, addr: net::SocketAddr) -> Self {
        self.http = addr;
        self
    }

    /// UDP address for heartbeats. A port of zero lets the system choose.
    pub fn heartbeats(mut self, addr: net::SocketAddr) -> Self {
        self.heartbeats = addr;
        self
    }

    /// Limits on what callers can make the entry hold.
    pub fn limits(mut self, limits: entry_limits::EntryLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Counters of the process.
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = counters;
        self
    }

    /// Logger of the process.
    pub fn logger(mut self, logger: slog::Logger) -> Self {
        self.logger = logger;
        self
    }

    /// Opens the sockets and starts to serve.
    ///
    /// # Errors
    ///
    /// Returns an error where a part is missing or a socket can't be opened.
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
        let missing = |part: &str| entry_error::EntryError::Missing {
            part: String::from(part),
        };
        let location = self.location.ok_or_else(|| missing("location"))?;
        let keys = self.keys.ok_or_else(|| missing("keys"))?;
        let control = self.control.ok_or_else(|| missing("control"))?;
        let stopped = tokio_util::sync::CancellationToken::new();
        let counters = sync::Arc::clone(&self.counters);
        // Ids of an earlier start don't come again, so that traces can be told apart.
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
            limits: self.limits,
            workspaces: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            prefixes: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            counters: self.counters,
            logger: self.logger,
            next_id: atomic::AtomicU64::new(first_id),
            is_draining: atomic::AtomicBool::new(false),
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
    let router = front::router(clone());
    tokio::spawn(http_server::serve(
        clone(),
        listener,
        router,
        closing.clone(),
    ));
    tokio::spawn(heartbeat_receiver::receive(clone(), socket));
    tokio::spawn(readiness::report(clone()));
    tokio::spawn(forget_links(clone()));
    let directory = sync::Arc::clone(&shared.directory);
    tokio::spawn(directory.maintain(
        sync::Arc::clone(&shared.counters),
        shared.logger.clone(),
        shared.stopped.clone(),
    ));
}

/// Forgets closed connections to hosts that were removed.
async fn forget_links(shared: sync::Arc<shared::Shared>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(LINK_LOOK) => {}
            () = shared.stopped.cancelled() => return,
        }
        let directory = &shared.directory;
        shared.links.retain(|host| directory.find(host).is_some());
    }
}
