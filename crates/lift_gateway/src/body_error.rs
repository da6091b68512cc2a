//! Why an answer ends before it is complete.

/// Failure of the body of an answer. It closes the connection to the caller, so that the part
/// already sent does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    /// The backend server failed, and the stream could not resume at another one.
    #[error("the answer broke off")]
    Broken,
    /// The deadline of the request passed.
    #[error("the deadline passed before the answer was complete")]
    Late,
}
