//! Ports of the listeners between nodes.

use std::{net, ops};

/// The listeners of a node, taken in order from a range of ports that is the same on all
/// nodes. So the address of each listener follows from the address of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FeedPorts {
    first: u16,
    last: u16,
}

/// Number of ports that are needed.
const NEEDED: u16 = 4;

impl FeedPorts {
    /// Takes the ports from `range`, or returns `None` where it is too short.
    pub fn new(range: ops::RangeInclusive<u16>) -> Option<Self> {
        let (first, last) = (*range.start(), *range.end());
        let count = last.checked_sub(first)?.saturating_add(1);
        (count >= NEEDED && first > 0).then_some(Self { first, last })
    }

    /// Where control members accept each other.
    pub fn peer(&self, host: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(host, self.first)
    }

    /// Where control members feed nodes.
    pub fn feed(&self, host: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(host, self.first + 1)
    }

    /// Where agents hand out pieces of weights.
    pub fn pieces(&self, host: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(host, self.first + 2)
    }

    /// Where gateways take load reports.
    pub fn loads(&self, host: net::IpAddr) -> net::SocketAddr {
        net::SocketAddr::new(host, self.first + 3)
    }
}
