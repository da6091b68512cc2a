//! Information that the gateway adds to a forwarded request.

use std::time;

/// Additions to the head of a request that is sent to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendCall {
    /// Time left for the answer.
    pub time_left: time::Duration,
    /// The backend server that should run the request. Any other one that uses its address now
    /// must reject the request.
    pub backend: lift_fleet::BackendId,
    /// Workspace of the caller. `None` if it sent no known key or the configuration requires none.
    pub workspace: Option<lift_types::WorkspaceId>,
    /// Priority at the engine, from 0, the most urgent, to 9. `None` if all requests of the service
    /// have the same.
    pub priority: Option<u8>,
    /// Version of the weights on which the request must run. A backend server with another
    /// version must reject the request. `None` if any version will do.
    pub weights: Option<lift_fleet::WeightsVersion>,
    /// Number of the last event of the stream that the caller has received.
    pub last_event: Option<u64>,
}
