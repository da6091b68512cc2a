//! Connections of a node to all control members.

use std::{net, sync, time};

use crate::{feed_client_builder, feed_link, feed_setup, feed_shared};

/// Time between two looks for control members that are not connected yet.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Follows the state of the fleet until it is dropped.
#[derive(Debug)]
pub struct FeedClient {
    shared: sync::Arc<feed_shared::Shared>,
    _stop: tokio_util::sync::DropGuard,
}

impl FeedClient {
    /// Collects the settings.
    pub fn builder() -> feed_client_builder::FeedClientBuilder {
        feed_client_builder::FeedClientBuilder::default()
    }

    pub(crate) fn start(setup: feed_setup::Setup, seeds: &[net::IpAddr]) -> Self {
        let stop = tokio_util::sync::CancellationToken::new();
        let shared = sync::Arc::new(feed_shared::Shared {
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
