//! Reply to an upload request.

/// Whether an upload request was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadReply {
    /// The request is queued.
    Queued,
    /// Too many requests are queued; the requester should try another agent.
    Busy,
}
