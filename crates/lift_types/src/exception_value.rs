//! Setting that an exception overrides.

use crate::{idempotency, method_id, priority, transfer_goal, version_id, workspace_limits};

/// One setting and the value that replaces its default within the scope of an exception.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExceptionValue {
    /// Target version of the hosts in the scope.
    Version(version_id::VersionId),
    /// Percentage of replicas of each failure domain that must stay in service while hosts
    /// switch versions.
    ActivationFloorPercent(u8),
    /// Whether transfers save time or origin bytes.
    TransferGoal(transfer_goal::TransferGoal),
    /// Limits of a workspace.
    Limits(workspace_limits::WorkspaceLimits),
    /// Priority of the requests of a workspace or service.
    Priority(priority::Priority),
    /// Idempotency of one method of a service.
    Method(method_id::MethodId, idempotency::Idempotency),
}
