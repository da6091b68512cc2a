//! Connections of a node to all control members.

use std::{net, sync, time};

use crate::{feed_link, feed_shared, fleet_observer, node_setup, shared_sightings, spread};

/// Time between two looks for control members that are not connected yet.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Follows the state of the fleet until it is dropped.
#[derive(Debug)]
pub struct FeedClient {
    shared: sync::Arc<feed_shared::Shared>,
    _stop: tokio_util::sync::DropGuard,
}

impl FeedClient {
    /// Starts to connect, and tells `observer` what it learns. Control members fetch no
    /// documents, since they have the log. Call it within a `tokio` runtime.
    pub fn start(
        node: node_setup::NodeSetup,
        observer: sync::Arc<dyn fleet_observer::FleetObserver>,
    ) -> Self {
        let stop = tokio_util::sync::CancellationToken::new();
        let sightings = shared_sightings::SharedSightings::new(sync::Arc::clone(&node.counters));
        let shared = sync::Arc::new(feed_shared::Shared {
            seeds: parking_lot::Mutex::new(node.seeds.clone()),
            node,
            observer,
            state: parking_lot::Mutex::default(),
            links: parking_lot::Mutex::default(),
            sightings,
        });
        let looking = look(sync::Arc::clone(&shared), stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(looking));
        Self {
            shared,
            _stop: stop.drop_guard(),
        }
    }

    /// Replaces the seeds, for instance after a change of the settings.
    pub fn set_seeds(&self, seeds: &[net::SocketAddr]) {
        *self.shared.seeds.lock() = seeds.to_vec();
    }

    /// Tells the other gateways what this one has observed, through all control members that are
    /// connected and those that will be. It never waits. Sightings over the bounds of
    /// [`crate::SightingLog`] are dropped and counted.
    pub fn report_part_sightings(&self, sightings: Vec<lift_fleet::PartSighting>) {
        self.shared.sightings.add(sightings, spread::Spread::All);
    }
}

/// Keeps a connection to each control member that is known. Control members don't connect to
/// themselves.
async fn look(shared: sync::Arc<feed_shared::Shared>, stop: tokio_util::sync::CancellationToken) {
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
