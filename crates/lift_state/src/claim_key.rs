//! Key of a claim.

/// Identifies one non-idempotent request. The caller chooses the idempotency key, which must be
/// unique within the workspace and service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct ClaimKey {
    /// Workspace of the caller.
    pub workspace: lift_types::WorkspaceId,
    /// Called service.
    pub service: lift_types::ServiceId,
    /// Idempotency key of the request.
    pub key: String,
}
