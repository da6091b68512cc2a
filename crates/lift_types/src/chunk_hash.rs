//! Content hash of a chunk.

use std::fmt;

/// BLAKE3 hash of a chunk or of the complete weights. Chunks are addressed by their hash, so
/// equal chunks of two versions are stored and transferred once.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct ChunkHash(pub [u8; 32]);

impl ChunkHash {
    /// Computes the hash of `buf`.
    pub fn of(buf: &[u8]) -> Self {
        Self(*blake3::hash(buf).as_bytes())
    }

    /// Returns the hash as 64 hexadecimal digits.
    pub fn to_hex(&self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }

    /// Parses 64 hexadecimal digits. Returns `None` if `text` is anything else.
    pub fn from_hex(text: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(text).ok()?;
        Some(Self(*hash.as_bytes()))
    }
}

impl fmt::Debug for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_hex()[..16])
    }
}
