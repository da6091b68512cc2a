//! What the connections of a feed client share.

use std::{net, sync};

use crate::{feed_state, fleet_observer, node_kind, node_setup, pack, shared_sightings};

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

    /// Takes in a document that `member` has sent.
    pub(crate) fn take_document(&self, member: net::SocketAddr, document: &lift_fleet::Document) {
        let node = &self.node;
        if !self.state.lock().is_newer(document.version) {
            return;
        }
        let text = pack::unpack(&document.compressed);
        let decoded = text
            .map_err(|e| e.to_string())
            .and_then(|text| node.codec.decode(&text).map_err(|e| e.to_string()));
        let table = match decoded {
            Ok(table) => sync::Arc::new(table),
            Err(error) => {
                // Control accepted the document, so this node runs another version of the code.
                slog::error!(node.log, "accepted document can't be read";
                    "document" => document.version, "error" => error);
                node.counters.increment("feed.document_unreadable");
                self.state.lock().refuse(document.version);
                return;
            }
        };
        // The table is passed on under the lock, so that of two documents that arrive over two
        // connections the newer one stays in force.
        let mut state = self.state.lock();
        if state.is_newer(table.version()) {
            state.hold(lift_clock::now(), &table);
            slog::info!(node.log, "configuration in force"; "document" => table.version(),
                "routes" => table.route_count(), "member" => member);
            self.observer.on_table(table);
        }
    }

    /// Takes in the evacuations that `member` knows.
    pub(crate) fn take_evacuations(
        &self,
        member: net::SocketAddr,
        evacuations: &lift_fleet::Evacuations,
    ) {
        // Passed on under the lock, so that the observer sees the revisions in their order.
        let mut state = self.state.lock();
        if !state.learn_evacuations(evacuations) {
            return;
        }
        let domains: Vec<_> = evacuations.failure_domains().map(String::as_str).collect();
        slog::info!(self.node.log, "evacuations in force"; "revision" => evacuations.revision(),
            "evacuated" => domains.join(","), "member" => member);
        let count = evacuations.len() as u64;
        self.node.counters.set("feed.evacuated_domains", count);
        self.observer.on_evacuations(evacuations);
    }
}
