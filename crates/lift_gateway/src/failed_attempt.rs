//! A request after a failed attempt.

use crate::{exchange, request_run};

/// A request after an attempt that received a valid head, but then a server error or a body that
/// could not be read to its end.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) run: request_run::RequestRun,
    pub(crate) failure: lift_dispatch::AttemptFailure,
    /// The complete answer of a backend server that failed with a server error. It is forwarded
    /// to the caller if the request is not retried.
    pub(crate) error_answer: Option<(exchange::Exchange, bytes::Bytes)>,
}
