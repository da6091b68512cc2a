//! Claim of a call.

/// Names the claim under which a non-idempotent call runs. The agent refuses it unless it
/// is the named incarnation and has not seen the attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct CallClaim {
    /// Idempotency key of the caller.
    pub key: String,
    /// Incarnation of the agent that holds the claim.
    pub incarnation: lift_types::Incarnation,
    /// Number of the attempt.
    pub attempt: lift_types::Attempt,
}
