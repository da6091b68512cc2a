//! Question about a claim.

use crate::call_claim;

/// Asks an agent what became of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClaimQuery {
    /// Identifier of the question, unique on its connection.
    pub id: lift_types::RequestId,
    /// Workspace of the caller.
    pub workspace: lift_types::WorkspaceId,
    /// Service that is called.
    pub service: lift_types::ServiceId,
    /// Claim that is asked about.
    pub claim: call_claim::CallClaim,
}
