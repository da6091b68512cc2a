//! A rejected request.

use std::time;

/// Content of the response to a rejected request, which the gateway creates itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why the request is rejected.
    pub reason: lift_dispatch::RejectionReason,
    /// Identifier of the request, if its head could be read.
    pub id: Option<String>,
    /// Time after which the caller should retry. Set for responses with status 503, which
    /// guarantee that the request has not run.
    pub retry_after: Option<time::Duration>,
}
