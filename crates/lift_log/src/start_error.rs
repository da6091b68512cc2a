//! Why a member does not start.

/// Failure to start a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// A setting without default is missing.
    #[error("the setting {0} of the replicated log is missing")]
    Missing(&'static str),
    /// The disk can't be read, or what it holds is damaged.
    #[error("the state on the disk can't be used")]
    Disk,
    /// The member has no identifier, or its files can't be given up.
    #[error("the owner of the replicated log failed")]
    Owner,
    /// The port for other members can't be opened.
    #[error("the port for other members can't be opened")]
    Port,
    /// A thread can't be started.
    #[error("a thread of the replicated log can't be started")]
    Thread,
}
