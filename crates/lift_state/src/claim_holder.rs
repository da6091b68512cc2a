//! Agent that may run a claimed request.

/// The one agent incarnation that may run an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct ClaimHolder {
    /// Host of the agent.
    pub host: lift_types::HostId,
    /// Incarnation of the agent. A later one must not run the attempt.
    pub incarnation: lift_types::Incarnation,
    /// Number of the attempt, from one.
    pub attempt: lift_types::Attempt,
}
