//! Sends sightings over one connection.

use std::sync;

use crate::{shared_sightings, sighting_cursor};

/// Hands out the sightings that one connection is to send: first everything that is kept, then
/// what is new.
#[derive(Debug)]
pub(crate) struct SightingSender {
    shared: sync::Arc<shared_sightings::SharedSightings>,
    cursor: sighting_cursor::SightingCursor,
}

impl SightingSender {
    pub(crate) fn new(shared: sync::Arc<shared_sightings::SharedSightings>) -> Self {
        let cursor = shared.log.lock().cursor();
        Self { shared, cursor }
    }

    /// Waits for sightings that the connection has not sent. The future may be dropped and called
    /// again; nothing is taken before it is ready.
    pub(crate) async fn next(&mut self) -> Vec<lift_fleet::PartSighting> {
        loop {
            // Waits from before the look into the log, so that nothing is missed in between.
            let added = self.shared.added.notified();
            let now = lift_clock::now();
            let batch = self.shared.log.lock().take(now, &mut self.cursor);
            if !batch.is_empty() {
                return batch;
            }
            added.await;
        }
    }
}
