//! A reply that the gateway makes itself.

use std::time;

/// Reply without an answer of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decline {
    /// Why.
    pub reason: lift_dispatch::RejectionReason,
    /// Request, where it could be read.
    pub id: Option<String>,
    /// When the caller does best to come back, for requests that have not run.
    pub retry_after: Option<time::Duration>,
}
