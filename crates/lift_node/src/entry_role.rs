//! The entry role of a node.

use std::{net, sync, time};

use error_stack::ResultExt as _;

use crate::{directory_swarm, entry_fleet, local_platform, node_context, node_error, tls_front};

/// An entry: front end for callers, relay for agents and administration API.
#[derive(Debug)]
pub(crate) struct EntryRole {
    client: sync::Arc<lift_rpc::ControlClient>,
    entry: sync::Arc<lift_entry::Entry>,
    tls: Option<tls_front::TlsFront>,
    relay: lift_rpc::ControlServer,
    admin: lift_admin::Admin,
}

type Result<T> = std::result::Result<T, error_stack::Report<node_error::NodeError>>;

impl EntryRole {
    /// Connects to control and opens all listeners.
    pub(crate) async fn start(
        cx: &node_context::NodeContext,
        cfg: &lift_settings::EntrySettings,
    ) -> Result<Self> {
        let failed = node_error::NodeError::Entry;
        let client = lift_rpc::ControlClient::builder()
            .addresses(cfg.control_addrs.iter().copied())
            .keys(cx.keys.clone())
            .log(cx.log.clone())
            .counters(cx.counters.clone())
            .start()
            .change_context(failed)?;
        let client = sync::Arc::new(client);
        let entry = sync::Arc::new(start_entry(cx, cfg, &client).await?);
        let tls = start_tls(cx, cfg, &entry).await?;
        let swarm = directory_swarm::DirectorySwarm::new(entry.clone(), client.clone());
        let relay = lift_rpc::ControlServer::builder()
            .keys(cx.keys.clone())
            .port(lift_rpc::Relay::start(client.clone()))
            .swarm(sync::Arc::new(swarm))
            .log(cx.log.clone())
            .counters(cx.counters.clone())
            .bind(cfg.relay_listener)
            .await
            .change_context(failed)?;
        let admin = start_admin(cx, cfg, &client, &entry).await?;
        Ok(Self {
            client,
            entry,
            tls,
            relay,
            admin,
        })
    }

    /// Control operations as this entry uses them.
    pub(crate) fn port(&self) -> sync::Arc<dyn lift_rpc::ControlPort> {
        self.client.clone()
    }

    /// Live agents that this entry knows.
    pub(crate) fn live_agents(&self) -> Vec<lift_entry::LiveAgent> {
        self.entry.live_agents()
    }

    /// Address for callers.
    pub(crate) fn caller_addr(&self) -> net::SocketAddr {
        let tls = self.tls.as_ref().map(tls_front::TlsFront::addr);
        tls.unwrap_or_else(|| self.entry.http_addr())
    }

    /// Address of the administration API.
    pub(crate) fn admin_addr(&self) -> net::SocketAddr {
        self.admin.addr()
    }

    /// Address for control operations of agents.
    pub(crate) fn relay_addr(&self) -> net::SocketAddr {
        self.relay.address()
    }

    /// Address for heartbeats.
    pub(crate) fn heartbeat_addr(&self) -> net::SocketAddr {
        self.entry.heartbeat_addr()
    }

    /// Turns readiness off, refuses new work and finishes the requests in progress. Returns
    /// the number of requests that were cut off.
    pub(crate) async fn drain(&self, grace: time::Duration) -> usize {
        let until = time::Instant::now() + grace;
        let cut_off = self.entry.stop(grace).await;
        let Some(tls) = &self.tls else {
            return cut_off;
        };
        let left = until.saturating_duration_since(time::Instant::now());
        // A request that the front end has cut off holds a connection here too.
        cut_off.max(tls.stop(left).await)
    }

    /// Closes the listeners for agents and operators.
    pub(crate) async fn stop(&self, grace: time::Duration) {
        self.admin.stop(grace).await;
        self.relay.stop();
    }
}

async fn start_entry(
    cx: &node_context::NodeContext,
    cfg: &lift_settings::EntrySettings,
    client: &sync::Arc<lift_rpc::ControlClient>,
) -> Result<lift_entry::Entry> {
    let platform: sync::Arc<dyn lift_border::Platform> = match cfg.platform_addr {
        Some(addr) => sync::Arc::new(lift_border::HttpPlatform::new(addr)),
        None => sync::Arc::new(local_platform::LocalPlatform::new(cx.log.clone())),
    };
    // With TLS the front end listens on loopback, behind the TLS listener.
    let http = match &cfg.tls {
        Some(_) => net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
        None => cfg.caller_listener,
    };
    let limits = lift_entry::EntryLimits {
        max_in_progress: cfg.limits.max_in_progress as usize,
        max_connections: cfg.limits.max_connections as usize,
        max_body_bytes: cfg.limits.max_body_bytes as usize,
        default_deadline: time::Duration::from_millis(cfg.limits.request_timeout_ms),
        ..lift_entry::EntryLimits::default()
    };
    lift_entry::Entry::builder()
        .location(cx.location.clone())
        .keys(sync::Arc::new(cx.keys.clone()))
        .control(client.clone())
        .platform(platform)
        .http(http)
        .heartbeats(cfg.heartbeat_listener)
        .limits(limits)
        .budget(sync::Arc::clone(&cx.budget))
        .counters(cx.counters.clone())
        .logger(cx.log.clone())
        .start()
        .await
        .change_context(node_error::NodeError::Entry)
}

async fn start_tls(
    cx: &node_context::NodeContext,
    cfg: &lift_settings::EntrySettings,
    entry: &lift_entry::Entry,
) -> Result<Option<tls_front::TlsFront>> {
    let Some(tls) = &cfg.tls else {
        return Ok(None);
    };
    let acceptor = lift_admin::load_tls(&tls.certificate, &tls.key)
        .change_context(node_error::NodeError::Entry)?;
    let connections = cfg.limits.max_connections as usize;
    let front = tls_front::TlsFront::start(
        cfg.caller_listener,
        acceptor,
        entry.http_addr(),
        connections,
        cx.log.clone(),
    );
    let front = front.await.change_context(node_error::NodeError::Entry)?;
    Ok(Some(front))
}

async fn start_admin(
    cx: &node_context::NodeContext,
    cfg: &lift_settings::EntrySettings,
    client: &sync::Arc<lift_rpc::ControlClient>,
    entry: &sync::Arc<lift_entry::Entry>,
) -> Result<lift_admin::Admin> {
    let fleet = entry_fleet::EntryFleet::new(entry.clone(), client.clone());
    let fleet = sync::Arc::new(fleet);
    let mut builder = lift_admin::Admin::builder(client.clone(), fleet, cx.counters.clone())
        .budget(sync::Arc::clone(&cx.budget))
        .log(cx.log.clone());
    if let Some(file) = &cfg.admin_token_file {
        builder = builder.token_file(file.clone());
    }
    if let Some(tls) = &cfg.tls {
        builder = builder.tls(tls.certificate.clone(), tls.key.clone());
    }
    builder
        .start(cfg.admin_listener)
        .await
        .change_context(node_error::NodeError::Entry)
}
