//! Choice of the next server of a client.

use std::{collections, net, time};

/// Time for which a server that stalled is tried last. A leader that is cut off is named by
/// its followers until they have elected another one.
const AVOIDED_FOR: time::Duration = time::Duration::from_secs(2);

/// Which server a client connects to next: the leader where it is named, else the servers in
/// turn, those that stalled last.
#[derive(Debug)]
pub(crate) struct ClientRoute {
    addresses: Vec<net::SocketAddr>,
    turn: usize,
    leader: Option<net::SocketAddr>,
    stalled: collections::HashMap<net::SocketAddr, time::Instant>,
}

impl ClientRoute {
    /// Begins with the address at position `turn`.
    pub(crate) fn new(addresses: Vec<net::SocketAddr>, turn: usize) -> Self {
        Self {
            addresses,
            turn,
            leader: None,
            stalled: collections::HashMap::new(),
        }
    }

    /// Notes who leads.
    pub(crate) fn name_leader(&mut self, leader: net::SocketAddr) {
        self.leader = Some(leader);
    }

    /// Notes a server that did not answer in time.
    pub(crate) fn avoid(&mut self, address: net::SocketAddr, now: time::Instant) {
        self.stalled.insert(address, now + AVOIDED_FOR);
    }

    /// Whether the next server is known to lead, so that there is no reason to pause.
    pub(crate) fn has_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// The next server.
    pub(crate) fn next(&mut self, now: time::Instant) -> net::SocketAddr {
        self.stalled.retain(|_, until| *until > now);
        let leader = self.leader.take();
        if let Some(leader) = leader.filter(|leader| !self.stalled.contains_key(leader)) {
            return leader;
        }
        let count = self.addresses.len();
        let in_turn = (0..count).map(|step| (self.turn + step) % count);
        let position = in_turn
            .clone()
            .find(|at| !self.stalled.contains_key(&self.addresses[*at]))
            .unwrap_or(self.turn % count);
        self.turn = position + 1;
        self.addresses[position]
    }
}
