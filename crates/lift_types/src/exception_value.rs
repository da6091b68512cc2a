//! What an exception sets.

use crate::{idempotency, method_id, priority, transfer_goal, version_id, workspace_limits};

/// One setting that an exception replaces within its scope.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExceptionValue {
    /// Version that hosts in the scope serve.
    Version(version_id::VersionId),
    /// Percentage of replicas of each failure domain that stay in service while hosts switch.
    ActivationFloorPercent(u8),
    /// Weight of time against origin bytes.
    TransferGoal(transfer_goal::TransferGoal),
    /// Limits of a workspace.
    Limits(workspace_limits::WorkspaceLimits),
    /// Priority of the requests of a workspace or service.
    Priority(priority::Priority),
    /// Class of one method of a service.
    Method(method_id::MethodId, idempotency::Idempotency),
}
