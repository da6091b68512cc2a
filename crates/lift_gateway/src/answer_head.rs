//! Head of a backend server's answer.

use std::time;

/// The part of an answer's head that the gateway uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Identifier of the request, if the answer repeats it.
    pub id: Option<String>,
    /// Backend server that answers, if it identifies itself.
    pub backend: Option<lift_fleet::BackendId>,
    /// Whether the answer carries the seal of the backend server.
    pub is_sealed: bool,
    /// Whether the backend server reports that the request has not run.
    pub is_not_run: bool,
    /// Version of the weights on which the request runs.
    pub weights: Option<lift_fleet::WeightsVersion>,
    /// Time for which the backend server keeps the connection open while it is idle.
    pub keep_alive: Option<time::Duration>,
}
