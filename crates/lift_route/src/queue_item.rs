//! A waiting request.

use std::time;

/// A request that waits for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueItem {
    /// Number by which the caller of the queue finds the request.
    pub ticket: u64,
    /// Workspace of the caller.
    pub workspace: lift_types::WorkspaceId,
    /// Share of the workspace relative to others.
    pub weight: u32,
    /// Requests of the workspace that may wait.
    pub max_queued: u32,
    /// Priority; higher ones go first.
    pub priority: lift_types::Priority,
    /// When the answer is worthless.
    pub deadline: time::Instant,
}
