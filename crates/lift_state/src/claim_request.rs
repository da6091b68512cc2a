//! Request to claim a non-idempotent request.

use crate::claim_key;

/// Asks for the right to run a non-idempotent request on one agent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClaimRequest {
    /// Key of the claim.
    pub key: claim_key::ClaimKey,
    /// Hash of method, path and body. A known key with another hash is rejected with
    /// [`crate::ClaimReply::Mismatch`].
    pub request_hash: lift_types::ChunkHash,
    /// Host of the agent that is to run the request.
    pub host: lift_types::HostId,
    /// Incarnation of that agent.
    pub incarnation: lift_types::Incarnation,
}
