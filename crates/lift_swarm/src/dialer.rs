//! Keeps connections open to the agents of the view.

use std::{net as std_net, sync, time};

use tokio::{net, time as tokio_time};

use crate::{agent, exchange};

/// Maximum time between two checks for missing connections, and pause before and after a
/// connection attempt.
const DIAL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Timeout of one connection attempt.
const DIAL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Opens missing connections to the desired peers until the agent stops.
pub(crate) async fn run(agent: sync::Arc<agent::Agent>) {
    let dialing = sync::Arc::new(parking_lot::Mutex::new(indexmap::IndexSet::new()));
    loop {
        let desired_peers = agent.desired_peers.lock().clone();
        for peer in desired_peers {
            let host = peer.location.host;
            let is_linked = agent.links.with(&host, |links| links.contains_key(&host));
            if is_linked || host == agent.location.host || !dialing.lock().insert(host) {
                continue;
            }
            let (own, dialing) = (agent.clone(), dialing.clone());
            agent.spawn_until_stop(async move {
                dial(&own, &peer).await;
                dialing.lock().swap_remove(&host);
            });
        }
        tokio::select! {
            () = agent.dial_now.notified() => {}
            () = tokio_time::sleep(DIAL_INTERVAL) => {}
        }
    }
}

async fn dial(agent: &sync::Arc<agent::Agent>, peer: &lift_transfer::SwarmPeer) {
    let host = peer.location.host;
    // Most neighbours have each other in their views. The host with the higher id waits first,
    // so that a duplicate connection, of which one must be dropped, is rare.
    if host < agent.location.host && peer.location.region == agent.location.region {
        tokio_time::sleep(DIAL_INTERVAL).await;
        if agent.links.with(&host, |links| links.contains_key(&host)) {
            return;
        }
    }
    let connect = connect(agent.local_ip, peer.chunk_addr);
    let Ok(Ok(stream)) = tokio_time::timeout(DIAL_TIMEOUT, connect).await else {
        agent.counters.increment("chunk_dial_failed");
        tokio_time::sleep(DIAL_INTERVAL).await;
        return;
    };
    let own = agent.clone();
    agent
        .tasks
        .spawn(exchange::run(own, stream, exchange::Direction::Outbound));
    // Leaves time for the handshake, so that the link is registered before the next attempt.
    tokio_time::sleep(DIAL_INTERVAL).await;
}

async fn connect(
    local_ip: Option<std_net::IpAddr>,
    addr: std_net::SocketAddr,
) -> std::io::Result<net::TcpStream> {
    let socket = match addr {
        std_net::SocketAddr::V4(_) => net::TcpSocket::new_v4()?,
        std_net::SocketAddr::V6(_) => net::TcpSocket::new_v6()?,
    };
    if let Some(ip) = local_ip {
        socket.bind(std_net::SocketAddr::new(ip, 0))?;
    }
    socket.connect(addr).await
}
