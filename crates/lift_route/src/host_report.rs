//! Status report of a host.

use std::net;

/// Content of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostReport {
    /// Region, failure domain and id of the host.
    pub location: lift_types::Location,
    /// Incarnation of its agent.
    pub incarnation: lift_types::Incarnation,
    /// Sequence number; increases with each report of an incarnation.
    pub sequence: u64,
    /// Whether the host accepts new work or is leaving.
    pub state: lift_types::HostState,
    /// Version that the host serves; `None` if it serves none.
    pub serving: Option<lift_types::ServingVersion>,
    /// Requests in progress when the report was created.
    pub in_progress: u32,
    /// Address on which the agent accepts calls.
    pub call_addr: net::SocketAddr,
    /// Address of its chunk server; `None` if it has none.
    pub chunk_addr: Option<net::SocketAddr>,
    /// Services that its backend server answers.
    pub services: Vec<lift_types::ServiceId>,
}
