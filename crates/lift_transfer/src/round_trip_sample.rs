//! A measured round-trip time.

use std::{net, time};

/// Age up to which a round-trip time is used.
const MAX_AGE: time::Duration = time::Duration::from_millis(700);

/// Round-trip time to a control member, or the time for which a message has waited so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundTripSample {
    /// When it was measured.
    pub(crate) at: time::Instant,
    /// The control member at the other end.
    pub(crate) member: net::SocketAddr,
    pub(crate) round_trip: time::Duration,
    /// Whether the message was answered. If not, the round trip takes at least this long.
    pub(crate) is_answered: bool,
}

impl RoundTripSample {
    pub(crate) fn is_recent(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.at) < MAX_AGE
    }
}
