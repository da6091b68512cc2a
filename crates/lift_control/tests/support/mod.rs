//! Control members, relays and clients on loopback.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use lift_control::{ControlMachine, ControlNode};
use lift_rpc::{ControlClient, ControlPort, ControlServer, Relay};
use lift_standin::MemoryLog;
use lift_types::{Location, PolicyView};
use lift_wire::{LinkKey, LinkKeys};

pub const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Lease duration in the tests, short so that they can wait until it expires.
pub const LEASE: Duration = Duration::from_millis(400);

pub struct Control {
    pub logs: Vec<Arc<MemoryLog>>,
    pub nodes: Vec<Arc<ControlNode>>,
    pub addresses: Vec<SocketAddr>,
    pub servers: Vec<ControlServer>,
}

impl Control {
    pub async fn start(members: usize) -> Self {
        let mut listeners = Vec::new();
        for _ in 0..members {
            listeners.push(tokio::net::TcpListener::bind(LOCAL).await.unwrap());
        }
        let addresses: Vec<_> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        let machines: Vec<_> = (0..members)
            .map(|_| Arc::new(ControlMachine::new()))
            .collect();
        let as_dyn = |m: &Arc<ControlMachine>| Arc::clone(m) as Arc<dyn lift_log::StateMachine>;
        let logs = MemoryLog::group(machines.iter().map(as_dyn).collect(), addresses.clone());
        let mut nodes = Vec::new();
        let mut servers = Vec::new();
        for ((log, machine), listener) in logs.iter().zip(machines).zip(listeners) {
            let node = ControlNode::builder()
                .log(log.clone())
                .machine(machine)
                .lease(LEASE)
                .start()
                .unwrap();
            let server = ControlServer::builder().keys(keys()).port(node.clone());
            servers.push(server.serve(listener).unwrap());
            nodes.push(node);
        }
        Self {
            logs,
            nodes,
            addresses,
            servers,
        }
    }
}

pub fn keys() -> LinkKeys {
    LinkKeys::new(LinkKey::new(1, [7; 32]))
}

pub fn client(addresses: &[SocketAddr]) -> Arc<ControlClient> {
    let builder = ControlClient::builder().addresses(addresses.iter().copied());
    Arc::new(builder.keys(keys()).start().unwrap())
}

pub async fn relay(upstream: Arc<dyn ControlPort>) -> ControlServer {
    let server = ControlServer::builder()
        .keys(keys())
        .port(Relay::start(upstream));
    server.bind(LOCAL).await.unwrap()
}

pub fn manifest(version: &str) -> lift_types::Manifest {
    lift_types::Manifest::of(String::from(version), &[1; 100], 10)
}

pub fn set_version(id: &str, expected: u64, version: &str) -> lift_state::ConfigChange {
    lift_state::ConfigChange {
        id: String::from(id),
        expected,
        author: String::from("ana"),
        reason: String::from("release"),
        edits: vec![lift_state::ChangeEdit::SetDefaultVersion(String::from(
            version,
        ))],
    }
}

pub fn claim(key: &str, host: u32, incarnation: u64) -> lift_state::ClaimRequest {
    lift_state::ClaimRequest {
        key: lift_state::ClaimKey {
            workspace: String::from("depot"),
            service: String::from("ledger"),
            key: String::from(key),
        },
        request_hash: lift_types::ChunkHash::of(key.as_bytes()),
        host,
        incarnation,
    }
}

pub fn location(host: u32) -> Location {
    Location {
        region: String::from("r1"),
        failure_domain: String::from("d1"),
        host,
    }
}

pub async fn wait_for_view(
    port: &Arc<ControlClient>,
    ok: impl FnMut(&PolicyView) -> bool,
) -> PolicyView {
    let mut views = port.watch();
    let found = tokio::time::timeout(Duration::from_secs(5), views.wait_for(ok));
    found.await.expect("the view within 5 s").unwrap().clone()
}
