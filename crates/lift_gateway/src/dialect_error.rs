//! Errors in the head of a request.

/// Reason why the head of a request can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DialectError {
    /// A header is missing.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// A header has a value that can't be parsed.
    #[error("the value of the header {0} can't be read")]
    Unreadable(&'static str),
}
