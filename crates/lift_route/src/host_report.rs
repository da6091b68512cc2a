//! What a host says of itself.

use std::net;

/// Content of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostReport {
    /// Where the agent is.
    pub place: lift_types::Place,
    /// Its incarnation.
    pub incarnation: lift_types::Incarnation,
    /// Grows with each report of an incarnation.
    pub sequence: u64,
    /// Whether the agent stays.
    pub state: lift_types::HostState,
    /// Version that it serves.
    pub serving: Option<lift_types::ServingVersion>,
    /// Requests in progress when the report was made.
    pub in_progress: u32,
    /// Address for calls.
    pub call_addr: net::SocketAddr,
    /// Address of its chunk server, where it has one.
    pub chunk_addr: Option<net::SocketAddr>,
    /// Services that its backend server answers.
    pub services: Vec<lift_types::ServiceId>,
}
