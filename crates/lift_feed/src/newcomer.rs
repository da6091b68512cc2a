//! A host that wants to become a control member.

use std::net;

/// Addresses of a host with an empty disk that wants to become a control member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Newcomer {
    /// Where it accepts other members.
    pub peer: net::SocketAddr,
    /// Where it takes the calls of operators and backend servers.
    pub control: net::SocketAddr,
}
