//! A live agent.

/// What an entry knows of a live agent, for the swarm view and the table of members.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct LiveAgent {
    /// Where the agent is.
    #[serde(rename = "place")]
    pub location: lift_types::Location,
    /// Its incarnation.
    pub incarnation: lift_types::Incarnation,
    /// Whether it stays.
    pub state: lift_types::HostState,
    /// Version that it serves.
    pub serving: Option<lift_types::ServingVersion>,
    /// Services that it answers.
    pub services: Vec<lift_types::ServiceId>,
    /// Requests in progress by its last heartbeat.
    pub in_progress: u32,
    /// How to exchange chunks with it, where it does.
    pub peer: Option<lift_transfer::SwarmPeer>,
}
