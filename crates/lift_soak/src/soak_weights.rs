//! Weights that the origin has.

use sha2::Digest as _;

/// Name of the model.
pub(crate) const MODEL: &str = "m";

/// Pieces of one version.
pub(crate) const PIECES: usize = 12;

/// Length of a piece, in bytes.
pub(crate) const PIECE_BYTES: usize = 4_096;

/// Piece `index` of a version.
pub(crate) fn piece(version: u64, index: usize) -> bytes::Bytes {
    let pattern = format!("weights {version} piece {index};");
    pattern.bytes().cycle().take(PIECE_BYTES).collect()
}

/// Digests of the pieces of a version.
pub(crate) fn digests(version: u64) -> Vec<String> {
    let digest = |index| {
        let digest = sha2::Sha256::digest(piece(version, index));
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    };
    (0..PIECES).map(digest).collect()
}
