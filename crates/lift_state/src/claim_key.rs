//! Key of a claim.

/// Names one non-idempotent request. The idempotency key comes from the caller and counts
/// within its workspace and service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct ClaimKey {
    /// Workspace of the caller.
    pub workspace: lift_types::WorkspaceId,
    /// Service that is called.
    pub service: lift_types::ServiceId,
    /// Idempotency key of the caller.
    pub key: String,
}
