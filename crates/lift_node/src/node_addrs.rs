//! Addresses of a running node.

use std::net;

/// Addresses that a node listens on, for the roles that it has. They differ from the
/// settings where those leave the port to the system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeAddrs {
    /// Control operations of a control member.
    pub control: Option<net::SocketAddr>,
    /// Administration API of a control member.
    pub control_admin: Option<net::SocketAddr>,
    /// Callers' requests.
    pub caller: Option<net::SocketAddr>,
    /// Administration API.
    pub admin: Option<net::SocketAddr>,
    /// Control operations and swarm view for agents.
    pub relay: Option<net::SocketAddr>,
    /// Heartbeats of agents.
    pub heartbeat: Option<net::SocketAddr>,
    /// Calls of entries.
    pub call: Option<net::SocketAddr>,
}
