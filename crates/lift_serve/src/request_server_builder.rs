//! Builder of the request side of an agent.

use std::{net, sync, sync::atomic};

use error_stack::ResultExt as _;

use crate::{
    claim_table, connection, gate, gate_state, heartbeat_sender, request_server,
    request_server_error, shared,
};

/// Default limit of requests in progress. Engines batch several hundred sequences.
const DEFAULT_MAX_IN_PROGRESS: usize = 512;

/// Collects the settings of a [`request_server::RequestServer`]. Location, incarnation, keys,
/// backend and control have no defaults and must be set.
#[derive(Debug)]
pub struct RequestServerBuilder {
    location: Option<lift_types::Location>,
    incarnation: Option<lift_types::Incarnation>,
    keys: Option<sync::Arc<lift_wire::LinkKeys>>,
    backend: Option<sync::Arc<dyn lift_border::Backend>>,
    control: Option<sync::Arc<dyn lift_rpc::ControlPort>>,
    services: Vec<lift_types::ServiceId>,
    kind: lift_types::ServiceKind,
    listen: net::SocketAddr,
    advertise: Option<net::SocketAddr>,
    chunk_addr: Option<net::SocketAddr>,
    entries: Option<tokio::sync::watch::Receiver<Vec<net::SocketAddr>>>,
    max_in_progress: usize,
    counters: sync::Arc<lift_obs::Counters>,
    logger: slog::Logger,
}

impl RequestServerBuilder {
    pub(crate) fn new() -> Self {
        Self {
            location: None,
            incarnation: None,
            keys: None,
            backend: None,
            control: None,
            services: Vec::new(),
            kind: lift_types::ServiceKind::Plain,
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            advertise: None,
            chunk_addr: None,
            entries: None,
            max_in_progress: DEFAULT_MAX_IN_PROGRESS,
            counters: sync::Arc::default(),
            logger: lift_obs::LogConfig::discard(),
        }
    }

    /// Sets the region, failure domain and host of the agent.
    pub fn location(mut self, location: lift_types::Location) -> Self {
        self.location = Some(location);
        self
    }

    /// Sets the incarnation that control assigned when the agent registered.
    pub fn incarnation(mut self, incarnation: lift_types::Incarnation) -> Self {
        self.incarnation = Some(incarnation);
        self
    }

    /// Sets the link keys, which authenticate connections and heartbeats.
    pub fn keys(mut self, keys: sync::Arc<lift_wire::LinkKeys>) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Sets the backend server that runs the requests.
    pub fn backend(mut self, backend: sync::Arc<dyn lift_border::Backend>) -> Self {
        self.backend = Some(backend);
        self
    }

    /// Sets the connection to control, which provides the policy and records outcomes.
    pub fn control(mut self, control: sync::Arc<dyn lift_rpc::ControlPort>) -> Self {
        self.control = Some(control);
        self
    }

    /// Adds a service that the backend server provides.
    pub fn service(mut self, service: &str) -> Self {
        self.services.push(String::from(service));
        self
    }

    /// Sets the kind of the backend server; a plain service by default. The gate of a model
    /// engine stays closed until [`lift_border::ServingControl::open`]; that of a plain service
    /// is open from the start.
    pub fn kind(mut self, kind: lift_types::ServiceKind) -> Self {
        self.kind = kind;
        self
    }

    /// Sets the address on which calls are accepted. With port zero the system chooses a port.
    pub fn listen(mut self, addr: net::SocketAddr) -> Self {
        self.listen = addr;
        self
    }

    /// Sets the address that heartbeats announce for calls, if it differs from the listen
    /// address.
    pub fn advertise(mut self, addr: net::SocketAddr) -> Self {
        self.advertise = Some(addr);
        self
    }

    /// Sets the address of the chunk server that heartbeats announce.
    pub fn chunk_addr(mut self, addr: net::SocketAddr) -> Self {
        self.chunk_addr = Some(addr);
        self
    }

    /// Sets the UDP addresses of the entries that receive heartbeats. Without entries no
    /// heartbeats are sent.
    pub fn entries(self, entries: Vec<net::SocketAddr>) -> Self {
        let (_, entries) = tokio::sync::watch::channel(entries);
        self.watch_entries(entries)
    }

    /// Sets a channel with the UDP addresses of the entries that receive heartbeats, for a list
    /// that changes.
    pub fn watch_entries(
        mut self,
        entries: tokio::sync::watch::Receiver<Vec<net::SocketAddr>>,
    ) -> Self {
        self.entries = Some(entries);
        self
    }

    /// Sets the maximum number of requests in progress. Further requests are refused as
    /// `overloaded`.
    pub fn max_in_progress(mut self, max: usize) -> Self {
        self.max_in_progress = max;
        self
    }

    /// Sets the counters (`serve.*`).
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = counters;
        self
    }

    /// Sets the logger; nothing is logged without it.
    pub fn logger(mut self, logger: slog::Logger) -> Self {
        self.logger = logger;
        self
    }

    /// Opens the sockets and starts the tasks that accept calls and send heartbeats.
    ///
    /// # Errors
    ///
    /// Returns [`request_server_error::RequestServerError::Bind`] if a socket can't be opened,
    /// and [`request_server_error::RequestServerError::Missing`] if a required setting is
    /// missing.
    pub async fn start(
        self,
    ) -> Result<
        request_server::RequestServer,
        error_stack::Report<request_server_error::RequestServerError>,
    > {
        let bind_error = request_server_error::RequestServerError::Bind { addr: self.listen };
        let listener = tokio::net::TcpListener::bind(self.listen)
            .await
            .change_context(bind_error.clone())?;
        let socket = tokio::net::UdpSocket::bind((self.listen.ip(), 0))
            .await
            .change_context(bind_error.clone())?;
        let listen_addr = listener.local_addr().change_context(bind_error)?;
        let call_addr = self.advertise.unwrap_or(listen_addr);
        let chunk_addr = self.chunk_addr;
        let entries = self.entries.clone();
        let shared = sync::Arc::new(self.into_shared()?);
        tokio::spawn(accept_connections(sync::Arc::clone(&shared), listener));
        if let Some(entries) = entries {
            let sender = heartbeat_sender::HeartbeatSender {
                shared: sync::Arc::clone(&shared),
                socket,
                entries,
                call_addr,
                chunk_addr,
            };
            tokio::spawn(sender.run());
        }
        Ok(request_server::RequestServer::new(shared, listen_addr))
    }

    fn into_shared(self) -> Result<shared::Shared, request_server_error::RequestServerError> {
        let missing = |setting: &str| request_server_error::RequestServerError::Missing {
            setting: String::from(setting),
        };
        let state = match self.kind {
            lift_types::ServiceKind::Plain => gate_state::GateState::Plain,
            lift_types::ServiceKind::Model => {
                gate_state::GateState::Closed(lift_types::RefusalReason::NotServing)
            }
        };
        let control = self.control.ok_or_else(|| missing("control"))?;
        Ok(shared::Shared {
            location: self.location.ok_or_else(|| missing("location"))?,
            incarnation: self.incarnation.ok_or_else(|| missing("incarnation"))?,
            keys: self.keys.ok_or_else(|| missing("keys"))?,
            backend: self.backend.ok_or_else(|| missing("backend"))?,
            policy: control.watch(),
            control,
            services: self.services,
            max_in_progress: self.max_in_progress,
            gate: sync::Arc::new(gate::Gate::new(state)),
            claims: claim_table::ClaimTable::new(),
            counters: self.counters,
            logger: self.logger,
            next_call: atomic::AtomicU64::new(0),
            tasks: tokio_util::task::TaskTracker::new(),
            connections: tokio_util::task::TaskTracker::new(),
            stopped: tokio_util::sync::CancellationToken::new(),
            state_changed: tokio::sync::Notify::new(),
        })
    }
}

async fn accept_connections(shared: sync::Arc<shared::Shared>, listener: tokio::net::TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.stopped.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let serving = connection::Connection::serve(sync::Arc::clone(&shared), stream);
                shared.connections.spawn(serving);
            }
            // Accepting fails, for instance, while the process has no free file descriptors. The
            // backoff gives other connections time to close.
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Backoff after a failure to accept a connection.
const ACCEPT_BACKOFF: std::time::Duration = std::time::Duration::from_millis(50);
