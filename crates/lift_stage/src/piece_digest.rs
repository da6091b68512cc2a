//! Digest of a piece.

use sha2::Digest as _;

/// SHA-256 of a piece of the weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct PieceDigest(pub [u8; 32]);

impl PieceDigest {
    /// Digest of `buf`.
    pub fn of(buf: &[u8]) -> Self {
        Self(sha2::Sha256::digest(buf).into())
    }
}
