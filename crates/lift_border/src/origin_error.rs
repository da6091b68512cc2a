//! Why weights could not be read.

use std::time;

/// Failure to read from an origin or a weight store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OriginError {
    /// The source has no such version or chunk.
    #[error("the source has no {what}")]
    Missing {
        /// What was asked for.
        what: String,
    },
    /// The source limits its rate.
    #[error("the source asks to wait {} ms", retry_after.as_millis())]
    Throttled {
        /// Time after which to ask again.
        retry_after: time::Duration,
    },
    /// The connection broke or timed out.
    #[error("the source could not be read")]
    Unreachable,
}
