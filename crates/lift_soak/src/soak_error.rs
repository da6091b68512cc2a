//! Errors of the soak itself.

/// The soak could not be played. It says nothing about the fleet.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A file, folder or listener could not be opened.
    #[error("{0}: {1}")]
    Io(&'static str, std::io::Error),
    /// The fleet did not come up.
    #[error("the fleet does not serve {0} s after its start")]
    Start(u64),
    /// A required option is missing.
    #[error("option {0} is missing")]
    Missing(&'static str),
}
