//! An agent as an entry sees it.

use crate::member_state;

/// Location, state and load of one agent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FleetMember {
    /// Where the agent is.
    #[serde(rename = "place")]
    pub location: lift_types::Location,
    /// Its incarnation. Of two records of a host the one with the higher number is newer.
    pub incarnation: lift_types::Incarnation,
    /// Services that its backend server answers.
    pub services: Vec<lift_types::ServiceId>,
    /// Whether the backend server is a model engine.
    pub kind: lift_types::ServiceKind,
    /// Version that it serves, for a model engine.
    pub serving: Option<lift_types::VersionId>,
    /// Whether it takes new work.
    pub state: member_state::MemberState,
    /// Requests in progress, from its last heartbeat.
    pub in_flight: u32,
}
