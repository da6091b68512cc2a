//! What a download asks for.

use crate::source;

/// Action of a [`crate::Download`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DownloadAction {
    /// Request a chunk.
    Request {
        /// Position of the chunk.
        chunk: lift_types::ChunkIndex,
        /// Whom to ask.
        source: source::Source,
    },
    /// Withdraw a request; its answer is no longer needed.
    Cancel {
        /// Position of the chunk.
        chunk: lift_types::ChunkIndex,
        /// Who was asked.
        source: source::Source,
    },
    /// All chunks are held: verify the whole.
    VerifyWhole,
}
