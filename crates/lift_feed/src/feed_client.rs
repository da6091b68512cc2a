//! Connections of a node to all control members.

use std::{net, sync, time};

use crate::{feed_client_builder, feed_link, feed_ports, feed_state, fleet_observer, node_card};

/// Time between two looks for control members that are not connected yet.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// What a feed client was set up with.
#[derive(Debug)]
pub(crate) struct Setup {
    pub(crate) card: node_card::NodeCard,
    pub(crate) ports: feed_ports::FeedPorts,
    pub(crate) keys: lift_wire::LinkKeys,
    pub(crate) codec: Option<sync::Arc<dyn lift_fleet::DocumentCodec>>,
    pub(crate) observer: sync::Arc<dyn fleet_observer::FleetObserver>,
    pub(crate) log: slog::Logger,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
}

/// What the connections of a client share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) setup: Setup,
    pub(crate) state: parking_lot::Mutex<feed_state::FeedState>,
    seeds: parking_lot::Mutex<Vec<net::IpAddr>>,
    links: parking_lot::Mutex<indexmap::IndexSet<net::SocketAddr>>,
}

/// Follows the state of the fleet until it is dropped.
#[derive(Debug)]
pub struct FeedClient {
    shared: sync::Arc<Shared>,
    _stop: tokio_util::sync::DropGuard,
}

impl FeedClient {
    /// Collects the settings.
    pub fn builder() -> feed_client_builder::FeedClientBuilder {
        feed_client_builder::FeedClientBuilder::default()
    }

    pub(crate) fn start(setup: Setup, seeds: &[net::IpAddr]) -> Self {
        let stop = tokio_util::sync::CancellationToken::new();
        let shared = sync::Arc::new(Shared {
            setup,
            state: parking_lot::Mutex::default(),
            seeds: parking_lot::Mutex::new(seeds.to_vec()),
            links: parking_lot::Mutex::default(),
        });
        let looking = look(sync::Arc::clone(&shared), stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(looking));
        Self {
            shared,
            _stop: stop.drop_guard(),
        }
    }

    /// Replaces the seeds, for instance after a change of the settings.
    pub fn set_seeds(&self, seeds: Vec<net::IpAddr>) {
        *self.shared.seeds.lock() = seeds;
    }
}

/// Keeps a connection to each control member that is known. Control members don't connect to
/// themselves.
async fn look(shared: sync::Arc<Shared>, stop: tokio_util::sync::CancellationToken) {
    loop {
        for address in shared.wanted() {
            if !shared.links.lock().insert(address) {
                continue;
            }
            let link = feed_link::run(sync::Arc::clone(&shared), address);
            tokio::spawn(stop.clone().run_until_cancelled_owned(link));
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

impl Shared {
    fn wanted(&self) -> Vec<net::SocketAddr> {
        let now = lift_clock::now();
        let ports = &self.setup.ports;
        let seeds: Vec<_> = self.seeds.lock().iter().map(|ip| ports.feed(*ip)).collect();
        let own = net::IpAddr::from(net::Ipv4Addr::from(self.setup.card.place.host));
        let mut state = self.state.lock();
        state.members.name(now, seeds);
        let addresses = state.members.addresses(now);
        addresses.into_iter().filter(|a| a.ip() != own).collect()
    }

    /// Whether `address` is still worth a connection. Where it is not, the link is given up.
    pub(crate) fn keep(&self, address: net::SocketAddr) -> bool {
        let is_known = self.wanted().contains(&address);
        if !is_known {
            self.links.lock().swap_remove(&address);
        }
        is_known
    }
}
