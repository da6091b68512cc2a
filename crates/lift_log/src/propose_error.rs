//! Why a command was not committed.

/// Failure to commit a command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This member does not lead. The command was not written.
    #[error("this member does not lead the replicated log")]
    NotLeader,
    /// Too many commands wait. The command was not written.
    #[error("too many commands wait to be committed")]
    Busy,
    /// The member lost the lead, or time ran out, before the command was committed. It may
    /// or may not be committed later; propose it again under the same id.
    #[error("it is not known whether the command was committed")]
    Unknown,
    /// The command is over [`crate::MAX_COMMAND_BYTES`]. It was not written.
    #[error("a command of {length} bytes is over the limit of {limit}", limit = crate::MAX_COMMAND_BYTES)]
    TooLong {
        /// Length of the command in bytes.
        length: usize,
    },
    /// The member is stopping.
    #[error("this member is stopping")]
    Stopped,
}
