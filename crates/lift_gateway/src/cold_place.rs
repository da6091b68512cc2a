//! Place of a request in the limit of a cold backend server.

use std::{net, time};

use crate::shared;

/// Place of a request that was counted when its backend server was selected. It counts as sent once
/// its connection is open, since that may take longer than requests are kept apart by the limit.
#[derive(Debug)]
pub(crate) struct ColdPlace<'a> {
    shared: &'a shared::Shared,
    address: net::SocketAddr,
    counted_at: parking_lot::Mutex<time::Instant>,
}

impl<'a> ColdPlace<'a> {
    /// The place of a request that was counted at `now` or shortly before.
    pub(crate) fn new(
        shared: &'a shared::Shared,
        address: net::SocketAddr,
        now: time::Instant,
    ) -> Self {
        Self {
            shared,
            address,
            counted_at: parking_lot::Mutex::new(now),
        }
    }

    pub(crate) fn shared(&self) -> &'a shared::Shared {
        self.shared
    }

    /// Counts the request as sent at `now`.
    pub(crate) fn send(&self, now: time::Instant) {
        let mut counted_at = self.counted_at.lock();
        let cold_servers = &self.shared.cold_servers;
        cold_servers.update_send_time(*counted_at, now, self.address);
        *counted_at = now;
    }

    /// Gives the place back if a request that failed this way does not count.
    pub(crate) fn give_back_after(self, failure: lift_dispatch::AttemptFailure) {
        if failure.is_uncounted() {
            let counted_at = *self.counted_at.lock();
            self.shared.cold_servers.give_back(counted_at, self.address);
        }
    }
}
