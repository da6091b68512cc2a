//! Request for a view of the swarm.

/// An agent's request for its neighbours and home groups.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SwarmViewRequest {
    /// The agent that asks.
    pub place: lift_types::Place,
    /// Its incarnation.
    pub incarnation: lift_types::Incarnation,
    /// Version that it fetches.
    pub version: lift_types::VersionId,
}
