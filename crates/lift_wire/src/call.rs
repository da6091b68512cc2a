//! A call from an entry to an agent.

use std::time;

use crate::call_claim;

/// One request with its whole body.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Call {
    /// Identifier of the request, unique on its connection.
    pub id: lift_types::RequestId,
    /// Workspace of the caller.
    pub workspace: lift_types::WorkspaceId,
    /// Service that is called.
    pub service: lift_types::ServiceId,
    /// Method of the service.
    pub method: lift_types::MethodId,
    /// HTTP method.
    pub http_method: String,
    /// Path and query, as the backend server gets them.
    pub path: String,
    /// Headers, without hop-by-hop ones.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: bytes::Bytes,
    /// Claim of a non-idempotent call; `None` for an idempotent one.
    pub claim: Option<call_claim::CallClaim>,
    /// Version that must answer; `None` where any may.
    pub version: Option<lift_types::VersionId>,
    /// Priority among requests in progress.
    pub priority: lift_types::Priority,
    /// Time until the answer is worthless. It is a duration because clocks differ.
    pub time_left: time::Duration,
    /// Number of body bytes that the caller already has.
    pub resume_from: u64,
}
