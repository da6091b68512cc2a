//! Head of a backend server's answer.

use std::time;

/// What a gateway needs of the head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Request that is answered.
    pub id: Option<String>,
    /// Backend server that answers, where it says so.
    pub backend: Option<lift_fleet::BackendId>,
    /// Whether the answer bears the seal of the backend server.
    pub is_sealed: bool,
    /// Whether the backend server says that the request has not run.
    pub is_not_run: bool,
    /// Weights on which the answer was made.
    pub weights: Option<lift_fleet::WeightsVersion>,
    /// Time for which the backend server keeps the connection open when idle.
    pub keep_alive: Option<time::Duration>,
}
