//! A request to a backend server.

use std::time;

/// One request as a backend server gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendCall {
    /// Text by which the answer is matched to the request. It is unique among requests in
    /// progress and is echoed by the backend server.
    pub id: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers, without hop-by-hop ones.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: bytes::Bytes,
    /// Version that must answer, for a model replica.
    pub version: Option<lift_types::VersionId>,
    /// Priority, for engines that honour it.
    pub priority: lift_types::Priority,
    /// Time left until the answer is worthless.
    pub time_left: time::Duration,
    /// Number of body bytes that the caller already has, for a stream that is resumed.
    pub resume_from: u64,
}
