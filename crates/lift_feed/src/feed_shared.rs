//! What the connections of a feed client share.

use std::{net, sync};

use crate::{feed_state, fleet_observer, node_kind, node_setup, shared_sightings};

/// State of a feed client.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) node: node_setup::NodeSetup,
    pub(crate) observer: sync::Arc<dyn fleet_observer::FleetObserver>,
    pub(crate) state: parking_lot::Mutex<feed_state::FeedState>,
    /// The seeds of the settings, or of a later change.
    pub(crate) seeds: parking_lot::Mutex<Vec<net::SocketAddr>>,
    pub(crate) links: parking_lot::Mutex<indexmap::IndexSet<net::SocketAddr>>,
    pub(crate) sightings: sync::Arc<shared_sightings::SharedSightings>,
}

impl Shared {
    /// Where control members are looked for.
    pub(crate) fn wanted(&self) -> Vec<net::SocketAddr> {
        let now = lift_clock::now();
        let ports = &self.node.ports;
        let seeds = self.seeds.lock().clone();
        let seeds = seeds.iter().map(|seed| ports.feed(seed.ip()));
        let own = self.node.host();
        let mut state = self.state.lock();
        state.members.name(now, seeds);
        let addresses = state.members.addresses(now);
        addresses.into_iter().filter(|a| a.ip() != own).collect()
    }

    /// Whether documents are fetched. Control members have them from the log.
    pub(crate) fn follows_documents(&self) -> bool {
        self.node.card.kind != node_kind::NodeKind::Control
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
