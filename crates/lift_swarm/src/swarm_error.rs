//! Why the weight distribution of an agent could not be started or carried on.

/// Failure of the weight distribution at one agent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SwarmError {
    /// A part that the builder needs was not given.
    #[error("the builder needs {what}")]
    Unset {
        /// Name of the part.
        what: &'static str,
    },
    /// The port of the chunk server can't be opened.
    #[error("the chunk server can't listen")]
    Listen,
    /// The data directory can't be read or written.
    #[error("the data directory can't be used")]
    Disk,
    /// Bytes do not match their hash.
    #[error("the bytes do not match their hash")]
    Corrupt,
    /// A chunk that should be stored is not there.
    #[error("a chunk is missing")]
    Missing,
}
