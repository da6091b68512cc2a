//! Why the log can't be set up.

/// The name is not a log level.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name:?} is not a log level; allowed: trace, debug, info, warning, error, critical")]
pub struct LogError {
    name: String,
}

impl LogError {
    /// Keeps the name for the message.
    pub fn new(name: &str) -> Self {
        Self {
            name: String::from(name),
        }
    }
}
