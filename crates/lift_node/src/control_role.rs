//! The control role of a node.

use std::{net, sync, time};

use error_stack::ResultExt as _;

use crate::{log_members, node_context, node_error};

/// Longest time for requests in progress of the administration API.
const ADMIN_GRACE: time::Duration = time::Duration::from_secs(1);

/// A control member: replicated log, state machine and server for entries.
#[derive(Debug)]
pub(crate) struct ControlRole {
    log: sync::Arc<dyn lift_log::ReplicatedLog>,
    node: sync::Arc<lift_control::ControlNode>,
    server: lift_rpc::ControlServer,
    admin: Option<lift_admin::Admin>,
}

impl ControlRole {
    /// Opens the log and joins the other members.
    pub(crate) async fn start(
        cx: &node_context::NodeContext,
        cfg: &lift_settings::ControlSettings,
    ) -> Result<Self, error_stack::Report<node_error::NodeError>> {
        let failed = node_error::NodeError::Control;
        let peers = net::TcpListener::bind(cfg.peer_listener).change_context(failed)?;
        let clients = tokio::net::TcpListener::bind(cfg.client_listener)
            .await
            .change_context(failed)?;
        let machine = sync::Arc::new(lift_control::ControlMachine::new());
        let mut builder = lift_log::LogDriver::builder()
            .id(cfg.member)
            .folder(&cfg.data_dir)
            .keys(cx.keys.clone())
            .state_machine(machine.clone())
            .logger(cx.log.clone())
            .counters(cx.counters.clone());
        // A member that joins learns the members from the leader. With a list of its own and
        // an empty disk it could vote in a cluster that it is not part of.
        let is_new = cfg.start == lift_settings::ControlStart::NewCluster;
        for member in cfg.members.iter().filter(|_| is_new) {
            let (mut peer, mut client) = (member.peer_addr, member.client_addr);
            if member.id == cfg.member {
                peer = resolved(peer, peers.local_addr().change_context(failed)?);
                client = resolved(client, clients.local_addr().change_context(failed)?);
            }
            builder = builder.initial_member(member.id, peer, client);
        }
        let supervised = builder.peer_listener(peers).start_supervised().await;
        let log: sync::Arc<dyn lift_log::ReplicatedLog> =
            sync::Arc::new(supervised.change_context(failed)?);
        let node = lift_control::ControlNode::builder()
            .log(log.clone())
            .machine(machine)
            .lease(time::Duration::from_millis(cfg.lease_ms))
            .logger(cx.log.clone())
            .counters(cx.counters.clone())
            .start()
            .change_context(failed)?;
        let server = lift_rpc::ControlServer::builder()
            .keys(cx.keys.clone())
            .port(node.clone())
            .log(cx.log.clone())
            .counters(cx.counters.clone())
            .serve(clients)
            .change_context(failed)?;
        let admin = start_admin(cx, cfg, &log, &node).await?;
        Ok(Self {
            log,
            node,
            server,
            admin,
        })
    }

    /// Control operations of this member.
    pub(crate) fn port(&self) -> sync::Arc<dyn lift_rpc::ControlPort> {
        self.node.clone()
    }

    /// Address for entries.
    pub(crate) fn addr(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Address of the administration API, where there is one.
    pub(crate) fn admin_addr(&self) -> Option<net::SocketAddr> {
        self.admin.as_ref().map(lift_admin::Admin::addr)
    }

    /// Hands the lead to another member, then stops.
    pub(crate) async fn stop(&self) {
        if let Some(admin) = &self.admin {
            admin.stop(ADMIN_GRACE).await;
        }
        self.log.stop().await;
        self.server.stop();
    }
}

async fn start_admin(
    cx: &node_context::NodeContext,
    cfg: &lift_settings::ControlSettings,
    log: &sync::Arc<dyn lift_log::ReplicatedLog>,
    node: &sync::Arc<lift_control::ControlNode>,
) -> Result<Option<lift_admin::Admin>, error_stack::Report<node_error::NodeError>> {
    let Some(addr) = cfg.admin_listener else {
        return Ok(None);
    };
    let fleet = sync::Arc::new(log_members::NoFleet);
    let members = sync::Arc::new(log_members::LogMembers::new(log.clone()));
    let mut builder = lift_admin::Admin::builder(node.clone(), fleet, cx.counters.clone())
        .control_members(members)
        .log(cx.log.clone());
    if let Some(file) = &cfg.admin_token_file {
        builder = builder.token_file(file.clone());
    }
    let started = builder.start(addr).await;
    started
        .map(Some)
        .change_context(node_error::NodeError::Control)
}

/// The address of the settings, unless they leave the port to the system.
fn resolved(given: net::SocketAddr, bound: net::SocketAddr) -> net::SocketAddr {
    if given.port() == 0 { bound } else { given }
}
