//! Links with limited rates around real TCP connections.

use std::{io, net as std_net, sync, time};

use tokio::{net, sync as tokio_sync};
use tokio_util::sync as util_sync;

use crate::{link_node, link_pump, link_rate, link_state, link_traffic};

/// Connections that may wait to be accepted by a relay.
const BACKLOG: u32 = 1_024;

/// Pause before a failed accept is repeated.
const ACCEPT_RETRY: time::Duration = time::Duration::from_millis(100);

/// Relays on loopback that hold traffic to the rates of host links, region links and the
/// origin link.
///
/// Each host has a loopback address of its own, by which a relay knows which host opened a
/// connection. A connection passes the sender's link, the two region links where the ends
/// are in different regions, and the receiver's link. The origin is in no region: its
/// traffic passes the region link of the receiver.
#[derive(Debug, Default)]
pub struct LinkNet {
    nodes: parking_lot::RwLock<indexmap::IndexMap<std_net::IpAddr, sync::Arc<link_node::LinkNode>>>,
    regions: parking_lot::RwLock<indexmap::IndexMap<lift_types::RegionId, RegionLink>>,
    stop: util_sync::CancellationToken,
}

#[derive(Clone, Debug)]
struct RegionLink {
    inbound: sync::Arc<link_rate::LinkRate>,
    outbound: sync::Arc<link_rate::LinkRate>,
}

impl LinkNet {
    /// Starts without hosts and regions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a region whose link has this rate each way, in bytes per second.
    pub fn add_region(&self, region: &str, bytes_per_second: u64) {
        let rate = || sync::Arc::new(link_rate::LinkRate::new(bytes_per_second));
        let link = RegionLink {
            inbound: rate(),
            outbound: rate(),
        };
        self.regions.write().insert(String::from(region), link);
    }

    /// Adds a host whose link has this rate each way, in bytes per second.
    pub fn add_host(&self, ip: std_net::IpAddr, region: &str, bytes_per_second: u64) {
        let rate = Some(bytes_per_second);
        let node = link_node::LinkNode::new(Some(String::from(region)), rate, rate);
        self.nodes.write().insert(ip, sync::Arc::new(node));
    }

    /// Adds the origin, whose link has this rate outwards, in bytes per second.
    pub fn add_origin(&self, ip: std_net::IpAddr, bytes_per_second: u64) {
        let node = link_node::LinkNode::new(None, None, Some(bytes_per_second));
        self.nodes.write().insert(ip, sync::Arc::new(node));
    }

    /// Opens a relay to `target` at the host `ip` and returns the relay's address.
    ///
    /// # Errors
    ///
    /// Returns an error where no port can be opened.
    pub async fn relay(
        self: &sync::Arc<Self>,
        ip: std_net::IpAddr,
        target: std_net::SocketAddr,
    ) -> io::Result<std_net::SocketAddr> {
        let socket = net::TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(link_pump::BUFFER_BYTES)?;
        socket.bind(std_net::SocketAddr::new(ip, 0))?;
        let listener = socket.listen(BACKLOG)?;
        let local_addr = listener.local_addr()?;
        let own = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = own.stop.cancelled() => {}
                () = accept(&own, listener, ip, target) => {}
            }
        });
        Ok(local_addr)
    }

    /// Loses or restores a host.
    pub fn set_state(&self, ip: std_net::IpAddr, state: link_state::LinkState) {
        if let Some(node) = self.node(ip) {
            node.state.send_replace(state);
        }
    }

    /// Stalls the host's open connections for good, without an error at either end. New ones
    /// work.
    pub fn stall_open(&self, ip: std_net::IpAddr) {
        if let Some(node) = self.node(ip) {
            let mut stall = node.stall.lock();
            stall.cancel();
            *stall = util_sync::CancellationToken::new();
        }
    }

    /// Bytes that the link of a host has carried.
    pub fn host_traffic(&self, ip: std_net::IpAddr) -> link_traffic::LinkTraffic {
        let Some(node) = self.node(ip) else {
            return link_traffic::LinkTraffic::default();
        };
        let carried =
            |rate: &Option<sync::Arc<link_rate::LinkRate>>| rate.as_ref().map(|r| r.carried());
        link_traffic::LinkTraffic {
            inbound: carried(&node.inbound).unwrap_or_default(),
            outbound: carried(&node.outbound).unwrap_or_default(),
        }
    }

    /// Bytes that the link of a region has carried.
    pub fn region_traffic(&self, region: &str) -> link_traffic::LinkTraffic {
        let regions = self.regions.read();
        regions
            .get(region)
            .map_or_else(link_traffic::LinkTraffic::default, |link| {
                link_traffic::LinkTraffic {
                    inbound: link.inbound.carried(),
                    outbound: link.outbound.carried(),
                }
            })
    }

    /// Closes all relays and their connections.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    fn node(&self, ip: std_net::IpAddr) -> Option<sync::Arc<link_node::LinkNode>> {
        self.nodes.read().get(&ip).cloned()
    }

    /// Rates that traffic from one node to another passes.
    fn path(
        &self,
        from: &link_node::LinkNode,
        to: &link_node::LinkNode,
    ) -> Vec<sync::Arc<link_rate::LinkRate>> {
        let mut path: Vec<_> = from.outbound.iter().cloned().collect();
        if from.region != to.region {
            let regions = self.regions.read();
            let link = |region: &Option<String>| regions.get(region.as_ref()?).cloned();
            path.extend(link(&from.region).map(|link| link.outbound));
            path.extend(link(&to.region).map(|link| link.inbound));
        }
        path.extend(to.inbound.iter().cloned());
        path
    }
}

impl Drop for LinkNet {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept(
    links: &sync::Arc<LinkNet>,
    listener: net::TcpListener,
    ip: std_net::IpAddr,
    target: std_net::SocketAddr,
) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            // The process has no file descriptor left; waits for one to be closed.
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let (Some(server), client) = (links.node(ip), links.node(from.ip())) else {
            continue;
        };
        let is_up = |node: &link_node::LinkNode| *node.state.borrow() == link_state::LinkState::Up;
        if !is_up(&server) || client.as_deref().is_some_and(|node| !is_up(node)) {
            continue;
        }
        // A caller that is not a node of the links, such as a client of the hosts, is in the
        // region of the host that it calls.
        let client = client.unwrap_or_else(|| {
            sync::Arc::new(link_node::LinkNode::new(server.region.clone(), None, None))
        });
        let there = links.path(&client, &server);
        let back = links.path(&server, &client);
        let stop = links.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = down(&client.state) => {}
                () = down(&server.state) => {}
                () = link_pump::run(stream, target, [&client, &server], (there, back)) => {}
            }
        });
    }
}

async fn down(state: &tokio_sync::watch::Sender<link_state::LinkState>) {
    let mut state = state.subscribe();
    let is_down = |state: &link_state::LinkState| *state == link_state::LinkState::Down;
    if state.wait_for(is_down).await.is_err() {
        std::future::pending::<()>().await;
    }
}
