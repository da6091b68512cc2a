//! Endpoint of the origin.

use std::net;

/// Endpoint from which agents download weights, and the limits of its link.
#[derive(Clone, Debug, PartialEq)]
pub struct OriginEndpoint {
    /// Address of the origin.
    pub address: net::SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: lift_types::FailureDomainId,
    /// Rate of its link, in bytes per second.
    pub bytes_per_s: u64,
    /// Connections that it accepts at once.
    pub max_connections: u32,
}
