//! What the connections of a feed client share.

use std::net;

use crate::{feed_setup, feed_state};

/// State of a feed client.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) setup: feed_setup::Setup,
    pub(crate) state: parking_lot::Mutex<feed_state::FeedState>,
    pub(crate) seeds: parking_lot::Mutex<Vec<net::IpAddr>>,
    pub(crate) links: parking_lot::Mutex<indexmap::IndexSet<net::SocketAddr>>,
}

impl Shared {
    /// Where control members are looked for.
    pub(crate) fn wanted(&self) -> Vec<net::SocketAddr> {
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
