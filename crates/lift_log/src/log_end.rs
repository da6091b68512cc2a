//! How a member ended.

/// Why a member runs no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEnd {
    /// It was stopped, or its disk failed. It may be started again on the same files.
    Stopped,
    /// The other members know another disk under its identifier. It needs a new identifier
    /// and an empty disk.
    DiskReplaced,
    /// Its owner ended it, because the member was removed. It needs a new identifier and an
    /// empty disk. [`crate::LogDriver::ended`] never returns it.
    Removed,
}
