//! Errors of the weight distribution at one agent.

/// Reason why the agent could not be started or a store operation failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SwarmError {
    /// A required setting of the builder is missing.
    #[error("the required setting `{what}` is missing")]
    Unset {
        /// Name of the setting.
        what: &'static str,
    },
    /// The listener of the chunk server can't be opened.
    #[error("the listener of the chunk server can't be opened")]
    Listen,
    /// The data directory can't be read or written.
    #[error("the data directory can't be read or written")]
    Disk,
    /// A chunk or the complete weights do not match their hash.
    #[error("the content does not match its hash")]
    Corrupt,
    /// A chunk of the version is not stored.
    #[error("a chunk of the version is not stored")]
    Missing,
}
