//! An attempt whose answer is not passed on as it is.

use crate::{exchange, request_run};

/// A request after an attempt that reached a backend server without an answer to pass on at
/// once.
#[derive(Debug)]
pub(crate) struct Unanswered {
    pub(crate) run: request_run::RequestRun,
    pub(crate) end: lift_dispatch::AttemptFailure,
    /// A failure of the backend server, read whole. The caller gets it if no further attempt
    /// is made.
    pub(crate) failure: Option<(exchange::Exchange, bytes::Bytes)>,
}
