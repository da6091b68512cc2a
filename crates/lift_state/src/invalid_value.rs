//! Error for a field with an invalid value.

/// Describes a field of a change whose value is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {problem}")]
pub struct InvalidValue {
    /// Path of the field, for example `edits[0].reason`.
    pub path: String,
    /// Description of the error, with the allowed values.
    pub problem: String,
}

impl InvalidValue {
    /// Creates an error for the field at `path`.
    pub fn new(path: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            problem: problem.into(),
        }
    }
}
