//! Builder of a server.

use std::{net, sync};

use error_stack::ResultExt as _;

use crate::{control_error, control_port, control_server, dispatch, policy_history, swarm_port};

/// Collects the settings of a [`control_server::ControlServer`]. Keys and a control port are
/// needed, the rest has defaults.
#[derive(Clone, Debug)]
pub struct ControlServerBuilder {
    keys: Option<lift_wire::LinkKeys>,
    port: Option<sync::Arc<dyn control_port::ControlPort>>,
    swarm: Option<sync::Arc<dyn swarm_port::SwarmPort>>,
    log: slog::Logger,
    counters: sync::Arc<lift_obs::Counters>,
}

impl ControlServerBuilder {
    pub(crate) fn new() -> Self {
        Self {
            keys: None,
            port: None,
            swarm: None,
            log: lift_obs::LogConfig::discard(),
            counters: sync::Arc::new(lift_obs::Counters::new()),
        }
    }

    /// Sets the link keys.
    pub fn keys(mut self, keys: lift_wire::LinkKeys) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Sets what the server serves.
    pub fn port(mut self, port: sync::Arc<dyn control_port::ControlPort>) -> Self {
        self.port = Some(port);
        self
    }

    /// Serves views of the swarm too.
    pub fn swarm(mut self, swarm: sync::Arc<dyn swarm_port::SwarmPort>) -> Self {
        self.swarm = Some(swarm);
        self
    }

    /// Sets the logger; nothing is logged without it.
    pub fn log(mut self, log: slog::Logger) -> Self {
        self.log = log;
        self
    }

    /// Sets the counters (`control.server.*`).
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = counters;
        self
    }

    /// Binds `address` and serves.
    ///
    /// # Errors
    ///
    /// Returns an error where the address can't be bound, or keys or port are missing.
    pub async fn bind(
        self,
        address: net::SocketAddr,
    ) -> Result<control_server::ControlServer, error_stack::Report<control_error::ControlError>>
    {
        let listener = tokio::net::TcpListener::bind(address)
            .await
            .change_context_lazy(|| invalid("address", "can't be bound"))?;
        self.serve(listener)
    }

    /// Serves on a listener.
    ///
    /// # Errors
    ///
    /// Returns an error where keys or port are missing.
    pub fn serve(
        self,
        listener: tokio::net::TcpListener,
    ) -> Result<control_server::ControlServer, error_stack::Report<control_error::ControlError>>
    {
        let keys = self
            .keys
            .ok_or_else(|| invalid("keys", "no link key; allowed: at least 1"))?;
        let port = self
            .port
            .ok_or_else(|| invalid("port", "no control port; allowed: exactly 1"))?;
        let address = listener
            .local_addr()
            .change_context_lazy(|| invalid("address", "the listener has none"))?;
        let dispatch = dispatch::Dispatch {
            port,
            swarm: self.swarm,
            history: policy_history::PolicyHistory::new(),
        };
        let shared = control_server::ServerShared {
            keys,
            dispatch: sync::Arc::new(dispatch),
            log: self.log,
            counters: self.counters,
        };
        Ok(control_server::ControlServer::start(
            listener, address, shared,
        ))
    }
}

fn invalid(path: &str, problem: &str) -> control_error::ControlError {
    control_error::ControlError::Invalid {
        path: String::from(path),
        problem: String::from(problem),
    }
}
