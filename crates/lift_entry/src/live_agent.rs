//! Live agent.

/// State of a live agent according to its latest heartbeat. It is used for the swarm and the table
/// of members.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct LiveAgent {
    /// Location of the agent.
    #[serde(rename = "place")]
    pub location: lift_types::Location,
    /// Incarnation of the agent.
    pub incarnation: lift_types::Incarnation,
    /// Whether the agent accepts new work or is leaving.
    pub state: lift_types::HostState,
    /// Version that the agent serves; `None` if it serves none.
    pub serving: Option<lift_types::ServingVersion>,
    /// Services that the agent serves.
    pub services: Vec<lift_types::ServiceId>,
    /// Number of requests in progress.
    pub in_progress: u32,
    /// Address and identity of the agent in the swarm; `None` if it exchanges no chunks.
    pub peer: Option<lift_transfer::SwarmPeer>,
}
