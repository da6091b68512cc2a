//! Why a body was not read.

/// Reason for which a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// The budget has no memory for it.
    #[error("there is no memory for the body")]
    Overloaded,
    /// It made no progress.
    #[error("the body made no progress")]
    Stalled,
    /// The connection broke, or the body is malformed.
    #[error("the body broke off")]
    Broken,
}
