//! Why a value is not valid.

/// A field that is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {problem}")]
pub struct InvalidValue {
    /// Path of the field, for example `edits[0].reason`.
    pub path: String,
    /// What is wrong and what is allowed.
    pub problem: String,
}

impl InvalidValue {
    /// Names the field and the problem.
    pub fn new(path: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            problem: problem.into(),
        }
    }
}
