//! A queued request.

use std::time;

/// A request that waits for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueItem {
    /// Identifies the request to the user of the queue.
    pub ticket: u64,
    /// Workspace of the caller.
    pub workspace: lift_types::WorkspaceId,
    /// Relative share of admissions that the workspace receives.
    pub weight: u32,
    /// Maximum number of queued requests of the workspace.
    pub max_queued: u32,
    /// Priority; higher ones are admitted first.
    pub priority: lift_types::Priority,
    /// Time after which the answer is of no use to the caller.
    pub deadline: time::Instant,
}
