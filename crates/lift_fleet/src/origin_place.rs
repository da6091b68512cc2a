//! Where the weights come from.

use std::net;

/// A service that is the origin of weights.
#[derive(Clone, Debug, PartialEq)]
pub struct OriginPlace {
    /// Address of the origin.
    pub address: net::SocketAddr,
    /// Failure domain in which it is.
    pub failure_domain: lift_types::FailureDomainId,
    /// Rate of its link, in bytes per second.
    pub bytes_per_s: u64,
    /// Connections that it accepts at once.
    pub max_connections: u32,
}
