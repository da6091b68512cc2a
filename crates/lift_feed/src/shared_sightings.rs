//! The sightings that the connections of a node share.

use std::sync;

use crate::{sighting_log, sighting_outcome, sighting_sender, spread};

/// A [`sighting_log::SightingLog`] under a lock, which wakes connections when something is to be
/// sent. It has one lock, since the oldest of all sightings is dropped first.
#[derive(Debug)]
pub(crate) struct SharedSightings {
    pub(crate) log: parking_lot::Mutex<sighting_log::SightingLog>,
    /// Wakes the connections, which look into the log for themselves.
    pub(crate) added: tokio::sync::Notify,
    counters: sync::Arc<lift_obs::Counters>,
}

impl SharedSightings {
    pub(crate) fn new(counters: sync::Arc<lift_obs::Counters>) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            log: parking_lot::Mutex::default(),
            added: tokio::sync::Notify::new(),
            counters,
        })
    }

    /// Takes in sightings and returns those that are news. What became of each is counted.
    pub(crate) fn add(
        &self,
        mut sightings: Vec<lift_fleet::PartSighting>,
        spread: spread::Spread,
    ) -> Vec<lift_fleet::PartSighting> {
        let now = lift_clock::now();
        sightings.retain(|sighting| {
            let outcome = self.log.lock().add(now, sighting, spread);
            self.counters
                .increment_member("feed.sighting", outcome.into());
            outcome == sighting_outcome::SightingOutcome::News
        });
        if !sightings.is_empty() && spread == spread::Spread::All {
            self.added.notify_waiters();
        }
        sightings
    }

    /// Starts to send what is kept over a connection that opens.
    pub(crate) fn sender(self: &sync::Arc<Self>) -> sighting_sender::SightingSender {
        sighting_sender::SightingSender::new(sync::Arc::clone(self))
    }
}
