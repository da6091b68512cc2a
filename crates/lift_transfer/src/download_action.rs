//! Actions that a download requests.

use crate::source;

/// Action that the caller of [`crate::Download::step`] carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DownloadAction {
    /// Request a chunk.
    Request {
        /// Index of the chunk.
        chunk: lift_types::ChunkIndex,
        /// Source to request it from.
        source: source::Source,
    },
    /// Cancel a request whose response is no longer needed.
    Cancel {
        /// Index of the chunk.
        chunk: lift_types::ChunkIndex,
        /// Source that it was requested from.
        source: source::Source,
    },
    /// Verify the hash of the complete weights; all chunks are held.
    VerifyWeights,
}
