//! Answer to an upload request.

/// Whether a request may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadReply {
    /// The request waits for its turn.
    Queued,
    /// Too many requests wait; the requester does better to ask another agent.
    Busy,
}
