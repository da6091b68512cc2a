//! How far a connection has sent the sightings of a log.

use crate::spread;

/// Position of a connection in a [`crate::SightingLog`]. Each connection has its own, so a slow one
/// needs no queue and neither delays nor displaces what others send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SightingCursor {
    /// Position of the last sighting that was kept when the connection opened.
    opened_at: u64,
    /// Position of the last sighting that was sent.
    sent: u64,
}

impl SightingCursor {
    pub(crate) fn new(opened_at: u64) -> Self {
        Self { opened_at, sent: 0 }
    }

    /// Whether the sighting at `position` is still to be sent.
    pub(crate) fn wants(&self, position: u64, spread: spread::Spread) -> bool {
        let is_open_to_it = position <= self.opened_at || spread == spread::Spread::All;
        position > self.sent && is_open_to_it
    }

    /// Notes that everything up to `position` was sent.
    pub(crate) fn advance(&mut self, position: u64) {
        self.sent = position;
    }
}
