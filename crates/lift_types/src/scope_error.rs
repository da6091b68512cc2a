//! Why a text is not a scope.

/// The text is not a scope.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{text:?} is not a scope; write region:NAME, failure-domain:NAME, host:NUMBER, workspace:NAME or service:NAME"
)]
pub struct ScopeError {
    text: String,
}

impl ScopeError {
    /// Keeps the text for the message.
    pub fn new(text: &str) -> Self {
        Self {
            text: String::from(text),
        }
    }
}
