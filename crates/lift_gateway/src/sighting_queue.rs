//! Observations that wait to be sent to the other gateways.

use std::mem;

/// Largest number of observations that wait.
const MAX_WAITING: usize = 256;

/// Observations of parts of prompts, until they are sent to the other gateways.
#[derive(Debug, Default)]
pub(crate) struct SightingQueue {
    waiting: parking_lot::Mutex<Vec<lift_fleet::PartSighting>>,
    added: tokio::sync::Notify,
}

impl SightingQueue {
    /// Adds an observation. Returns whether there was room for it.
    pub(crate) fn push(&self, sighting: lift_fleet::PartSighting) -> bool {
        let mut waiting = self.waiting.lock();
        if waiting.len() >= MAX_WAITING {
            return false;
        }
        waiting.push(sighting);
        self.added.notify_one();
        true
    }

    /// Waits for observations and takes all of them.
    pub(crate) async fn take(&self) -> Vec<lift_fleet::PartSighting> {
        loop {
            let taken = mem::take(&mut *self.waiting.lock());
            if !taken.is_empty() {
                return taken;
            }
            self.added.notified().await;
        }
    }
}
