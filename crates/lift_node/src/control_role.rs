//! The control role of a node.

use std::{net, sync, time};

use error_stack::ResultExt as _;
use lift_log::ReplicatedLog as _;

use crate::{node_context, node_error};

/// A control member: replicated log, state machine and server for entries.
#[derive(Debug)]
pub(crate) struct ControlRole {
    log: sync::Arc<lift_log::LogDriver>,
    node: sync::Arc<lift_control::ControlNode>,
    server: lift_rpc::ControlServer,
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
        for member in &cfg.members {
            let (mut peer, mut client) = (member.peer_addr, member.client_addr);
            if member.id == cfg.member {
                peer = resolved(peer, peers.local_addr().change_context(failed)?);
                client = resolved(client, clients.local_addr().change_context(failed)?);
            }
            builder = builder.initial_member(member.id, peer, client);
        }
        let driver = builder.peer_listener(peers).start().await;
        let log = sync::Arc::new(driver.change_context(failed)?);
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
        Ok(Self { log, node, server })
    }

    /// Control operations of this member.
    pub(crate) fn port(&self) -> sync::Arc<dyn lift_rpc::ControlPort> {
        self.node.clone()
    }

    /// Address for entries.
    pub(crate) fn addr(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Hands the lead to another member, then stops.
    pub(crate) async fn stop(&self) {
        self.log.stop().await;
        self.server.stop();
    }
}

/// The address of the settings, unless they leave the port to the system.
fn resolved(given: net::SocketAddr, bound: net::SocketAddr) -> net::SocketAddr {
    if given.port() == 0 { bound } else { given }
}
