//! Failures of HTTP requests to the systems at the borders.

/// Why a request could not be completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// No connection could be opened, so nothing was sent.
    #[error("no connection could be opened for the HTTP request")]
    NotConnected,
    /// The connection or the answer broke, or took too long. The request may have run.
    #[error("the HTTP request could not be completed")]
    Broken,
}
