//! What a backend server is told besides the caller's request.

use std::time;

/// Additions to the head of a request that is sent to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendCall {
    /// Time that is left for the answer.
    pub time_left: time::Duration,
    /// The backend server that is meant; any other one at its address must refuse.
    pub backend: lift_fleet::BackendId,
    /// Workspace of the caller, where callers show keys.
    pub workspace: Option<lift_types::WorkspaceId>,
    /// Weights on which the request must run; others must refuse.
    pub weights: Option<lift_fleet::WeightsVersion>,
    /// Last event that the caller already has.
    pub last_event: Option<u64>,
}
