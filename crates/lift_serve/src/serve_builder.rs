//! Describes the request side of an agent.

use std::{net, sync, sync::atomic};

use error_stack::ResultExt as _;

use crate::{
    connection, gate, gate_state, heartbeat_sender, seen_claims, serve, serve_error, shared,
};

/// Requests in progress above which new ones are refused, unless set otherwise. An engine
/// batches some hundred sequences.
const MAX_IN_PROGRESS: usize = 512;

/// Builds a [`serve::Serve`]. Location, incarnation, keys, backend and control must be given.
#[derive(Debug)]
pub struct ServeBuilder {
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

impl ServeBuilder {
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
            max_in_progress: MAX_IN_PROGRESS,
            counters: sync::Arc::default(),
            logger: lift_obs::LogConfig::discard(),
        }
    }

    /// Where the agent is.
    pub fn location(mut self, location: lift_types::Location) -> Self {
        self.location = Some(location);
        self
    }

    /// Incarnation that control gave to this start.
    pub fn incarnation(mut self, incarnation: lift_types::Incarnation) -> Self {
        self.incarnation = Some(incarnation);
        self
    }

    /// Link keys.
    pub fn keys(mut self, keys: sync::Arc<lift_wire::LinkKeys>) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Backend server that answers.
    pub fn backend(mut self, backend: sync::Arc<dyn lift_border::Backend>) -> Self {
        self.backend = Some(backend);
        self
    }

    /// Control, for the policy in force and for outcomes.
    pub fn control(mut self, control: sync::Arc<dyn lift_rpc::ControlPort>) -> Self {
        self.control = Some(control);
        self
    }

    /// Adds a service that the backend server answers.
    pub fn service(mut self, service: &str) -> Self {
        self.services.push(String::from(service));
        self
    }

    /// Kind of the backend server. A model engine starts closed until
    /// [`lift_border::ServingControl::open`]; a plain service starts open.
    pub fn kind(mut self, kind: lift_types::ServiceKind) -> Self {
        self.kind = kind;
        self
    }

    /// Address to accept calls on. A port of zero lets the system choose.
    pub fn listen(mut self, addr: net::SocketAddr) -> Self {
        self.listen = addr;
        self
    }

    /// Address that entries connect to, where it differs from the one to listen on.
    pub fn advertise(mut self, addr: net::SocketAddr) -> Self {
        self.advertise = Some(addr);
        self
    }

    /// Address of the chunk server, for the heartbeat.
    pub fn chunk_addr(mut self, addr: net::SocketAddr) -> Self {
        self.chunk_addr = Some(addr);
        self
    }

    /// UDP addresses of the entries that get heartbeats.
    pub fn entries(self, entries: Vec<net::SocketAddr>) -> Self {
        let (_, entries) = tokio::sync::watch::channel(entries);
        self.watch_entries(entries)
    }

    /// UDP addresses of the entries that get heartbeats, as they change.
    pub fn watch_entries(
        mut self,
        entries: tokio::sync::watch::Receiver<Vec<net::SocketAddr>>,
    ) -> Self {
        self.entries = Some(entries);
        self
    }

    /// Requests in progress above which new ones are refused as `overloaded`.
    pub fn max_in_progress(mut self, max: usize) -> Self {
        self.max_in_progress = max;
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
    pub async fn start(self) -> Result<serve::Serve, error_stack::Report<serve_error::ServeError>> {
        let bind_error = serve_error::ServeError::Bind { addr: self.listen };
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
        tokio::spawn(accept(sync::Arc::clone(&shared), listener));
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
        Ok(serve::Serve::new(shared, listen_addr))
    }

    fn into_shared(self) -> Result<shared::Shared, serve_error::ServeError> {
        let missing = |part: &str| serve_error::ServeError::Missing {
            part: String::from(part),
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
            claims: seen_claims::SeenClaims::new(),
            counters: self.counters,
            logger: self.logger,
            next_call: atomic::AtomicU64::new(0),
            tasks: tokio_util::task::TaskTracker::new(),
            connections: tokio_util::task::TaskTracker::new(),
            stopped: tokio_util::sync::CancellationToken::new(),
            changed: tokio::sync::Notify::new(),
        })
    }
}

async fn accept(shared: sync::Arc<shared::Shared>, listener: tokio::net::TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.stopped.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let served = connection::Connection::serve(sync::Arc::clone(&shared), stream);
                shared.connections.spawn(served);
            }
            // Accepting fails while file descriptors are short; a pause lets some close.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);
