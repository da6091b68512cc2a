//! Why counters can't be exported.

/// The socket for the export could not be set up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the socket for the counter export could not be set up")]
pub struct StatsdError;
