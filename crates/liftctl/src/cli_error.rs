//! Why a command was not done.

/// Failure of a command. Each kind has its exit code.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CliError {
    /// The command failed.
    #[error("{0}")]
    Failed(String),
    /// An argument or value is not valid.
    #[error("{0}")]
    Invalid(String),
    /// Another change was accepted first.
    #[error("conflict: revision {current} is in force, from {by}; look at it and try again")]
    Conflict {
        /// Revision in force.
        current: lift_types::Revision,
        /// Who made it, and why.
        by: String,
    },
    /// No server answered.
    #[error("{0}")]
    Unreachable(String),
}

impl CliError {
    /// Exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Invalid(_) => 2,
            Self::Conflict { .. } => 3,
            Self::Unreachable(_) => 4,
        }
    }
}
