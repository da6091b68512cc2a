//! Holder of a claim.

/// The only agent incarnation that may run an attempt of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct ClaimHolder {
    /// Host of the agent.
    pub host: lift_types::HostId,
    /// Incarnation of the agent. Later incarnations must not run the attempt.
    pub incarnation: lift_types::Incarnation,
    /// Number of the attempt, counted from one.
    pub attempt: lift_types::Attempt,
}
