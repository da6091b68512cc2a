//! Why a control operation has no result.

/// Failure of a control operation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize)]
pub enum ControlError {
    /// No control member could take the operation. It was not carried out.
    #[error("no control member could take the operation")]
    Unavailable,
    /// It is not known whether the operation was carried out. It may be sent again under the
    /// same ids.
    #[error("it is not known whether the operation was carried out")]
    Unknown,
    /// There is no such thing.
    #[error("there is no {what}")]
    Missing {
        /// What was asked for.
        what: String,
    },
    /// The operation is not valid.
    #[error("{path}: {problem}")]
    Invalid {
        /// Path of the field.
        path: String,
        /// What is wrong and what is allowed.
        problem: String,
    },
}
