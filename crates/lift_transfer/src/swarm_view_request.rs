//! Request for a view of the swarm.

/// Request of an agent for its neighbours and home groups.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SwarmViewRequest {
    /// Location of the requesting agent.
    pub location: lift_types::Location,
    /// Incarnation of the requesting agent.
    pub incarnation: lift_types::Incarnation,
    /// Version that the agent fetches.
    pub version: lift_types::VersionId,
}
