//! A command on its way into the log.

use tokio::sync::oneshot;

use crate::propose_error;

/// Where the result of a proposal goes.
pub(crate) type Reply = oneshot::Sender<Result<bytes::Bytes, propose_error::ProposeError>>;

/// A command that waits to be appended.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub(crate) command: bytes::Bytes,
    pub(crate) reply: Reply,
}
