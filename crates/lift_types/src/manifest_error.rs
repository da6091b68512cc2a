//! Error for an invalid manifest.

/// Reason why a manifest is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ManifestError {
    /// The version has no name.
    #[error("the version name is empty")]
    EmptyVersion,
    /// Length or chunk size is zero.
    #[error("length and chunk size must be at least 1 byte")]
    Empty,
    /// The number of chunks does not match the length.
    #[error("the manifest needs {expected} chunk hashes but has {found}")]
    ChunkCount {
        /// Number of chunks that results from length and chunk size.
        expected: u64,
        /// Number of hashes in the manifest.
        found: u64,
    },
}
