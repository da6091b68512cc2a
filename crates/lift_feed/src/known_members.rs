//! Where control members are, as far as a node knows.

use std::{net, time};

/// Time for which an address is tried that is neither a seed nor named by any member.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(60);

/// Feed addresses of control members, from seeds and from the members themselves.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownMembers {
    /// When each address was last named.
    named: indexmap::IndexMap<net::SocketAddr, time::Instant>,
}

impl KnownMembers {
    /// Notes that `addresses` were named at `now`.
    pub(crate) fn name(
        &mut self,
        now: time::Instant,
        addresses: impl IntoIterator<Item = net::SocketAddr>,
    ) {
        for address in addresses {
            self.named.insert(address, now);
        }
    }

    /// Addresses that are tried at `now`.
    pub(crate) fn addresses(&mut self, now: time::Instant) -> Vec<net::SocketAddr> {
        self.named
            .retain(|_, at| now.saturating_duration_since(*at) < FORGET_AFTER);
        self.named.keys().copied().collect()
    }
}
