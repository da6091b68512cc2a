//! Request for a claim.

use crate::claim_key;

/// Asks for the right to run a non-idempotent request on one agent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClaimRequest {
    /// Key of the request.
    pub key: claim_key::ClaimKey,
    /// Hash of method, path and body. A key that is used with another one is refused.
    pub body_hash: lift_types::ChunkHash,
    /// Host of the agent that is to run it.
    pub host: lift_types::HostId,
    /// Incarnation of that agent.
    pub incarnation: lift_types::Incarnation,
}
