//! Builder of the administration API.

use std::{net, path, sync};

use error_stack::ResultExt as _;
use tokio::net as tokio_net;

use crate::{
    admin, admin_error, admin_state, control_members, fleet_view, listener, routes, token_store,
};

/// Parts and settings of the administration API. Control, fleet view and counters are
/// required; without a token file only loopback addresses are accepted.
#[derive(Debug)]
pub struct AdminBuilder {
    control: sync::Arc<dyn lift_rpc::ControlPort>,
    fleet: sync::Arc<dyn fleet_view::FleetView>,
    members: Option<sync::Arc<dyn control_members::ControlMembers>>,
    counters: sync::Arc<lift_obs::Counters>,
    log: slog::Logger,
    token_file: Option<path::PathBuf>,
    tls: Option<(path::PathBuf, path::PathBuf)>,
    budget: Option<sync::Arc<lift_listen::ByteBudget>>,
}

impl AdminBuilder {
    pub(crate) fn new(
        control: sync::Arc<dyn lift_rpc::ControlPort>,
        fleet: sync::Arc<dyn fleet_view::FleetView>,
        counters: sync::Arc<lift_obs::Counters>,
    ) -> Self {
        Self {
            control,
            fleet,
            members: None,
            counters,
            log: lift_obs::LogConfig::discard(),
            token_file: None,
            tls: None,
            budget: None,
        }
    }

    /// Logs to `log`.
    pub fn log(mut self, log: slog::Logger) -> Self {
        self.log = log;
        self
    }

    /// Offers the members of control too.
    pub fn control_members(
        mut self,
        members: sync::Arc<dyn control_members::ControlMembers>,
    ) -> Self {
        self.members = Some(members);
        self
    }

    /// Counts bodies against the budget of the process. By default there is one of their own, for
    /// the smallest host.
    pub fn budget(mut self, budget: sync::Arc<lift_listen::ByteBudget>) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Requires a bearer token of this file, which is read again when it changes.
    pub fn token_file(mut self, file: path::PathBuf) -> Self {
        self.token_file = Some(file);
        self
    }

    /// Uses TLS with this certificate and key file.
    pub fn tls(mut self, certificate: path::PathBuf, key: path::PathBuf) -> Self {
        self.tls = Some((certificate, key));
        self
    }

    /// Listens on `addr` and serves until [`admin::Admin::stop`].
    ///
    /// # Errors
    ///
    /// Returns an error where a file can't be read, the address is taken, or the address is
    /// not on loopback and there are no tokens.
    pub async fn start(
        self,
        addr: net::SocketAddr,
    ) -> Result<admin::Admin, error_stack::Report<admin_error::AdminError>> {
        if self.token_file.is_none() && !addr.ip().is_loopback() {
            return Err(admin_error::AdminError::OpenWithoutTokens.into());
        }
        let tokens = match self.token_file {
            Some(file) => Some(token_store::TokenStore::open(file, self.log.clone())?),
            None => None,
        };
        let tls = match &self.tls {
            Some((certificate, key)) => Some(crate::load_tls(certificate, key)?),
            None => None,
        };
        let budget = self.budget.unwrap_or_else(|| {
            lift_listen::ByteBudget::new(lift_listen::ByteBudget::DEFAULT_BYTES)
        });
        let bodies = lift_listen::BodyBudget::new(
            "admin",
            routes::MAX_BODY_BYTES,
            budget,
            sync::Arc::clone(&self.counters),
            self.log.clone(),
        );
        let state = admin_state::AdminState {
            control: self.control,
            fleet: self.fleet,
            members: self.members,
            counters: self.counters,
            tokens: tokens.map(sync::Arc::new),
            log: self.log.clone(),
        };
        let socket = tokio_net::TcpListener::bind(addr)
            .await
            .change_context(admin_error::AdminError::Listen)?;
        let addr = socket
            .local_addr()
            .change_context(admin_error::AdminError::Listen)?;
        let listener =
            listener::Listener::new(socket, tls, bodies.limit(routes::routes(state)), self.log);
        Ok(admin::Admin::start(addr, listener))
    }
}
