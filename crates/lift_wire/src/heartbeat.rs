//! Heartbeat of an agent.

use std::net;

/// What an agent tells its entries over UDP, at most four times a second.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// Where the agent is.
    pub location: lift_types::Location,
    /// Its incarnation. Heartbeats of earlier ones are ignored.
    pub incarnation: lift_types::Incarnation,
    /// Grows with each heartbeat. Lower ones are ignored.
    pub sequence: u64,
    /// Whether the agent stays.
    pub state: lift_types::HostState,
    /// Version that it serves, `None` for a plain service or while it serves nothing.
    pub serving: Option<lift_types::ServingVersion>,
    /// Requests in progress.
    pub in_progress: u32,
    /// Address for calls.
    pub call_addr: net::SocketAddr,
    /// Address of its chunk server, where it has one.
    pub chunk_addr: Option<net::SocketAddr>,
    /// Services that its backend server answers.
    pub services: Vec<lift_types::ServiceId>,
}
