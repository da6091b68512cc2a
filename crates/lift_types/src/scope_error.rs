//! Error for a text that is not a scope.

/// Failure to parse a scope. The message contains the text and the valid forms.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{text:?} is not a scope; write region:NAME, failure-domain:NAME, host:NUMBER, workspace:NAME or service:NAME"
)]
pub struct ScopeError {
    text: String,
}

impl ScopeError {
    /// Creates an error for `text`.
    pub fn new(text: &str) -> Self {
        Self {
            text: String::from(text),
        }
    }
}
