//! Index of a chunk.

/// Position of a chunk in its manifest, counted from zero.
pub type ChunkIndex = u32;
