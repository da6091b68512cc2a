//! Weights of the model.

use crate::sha256;

/// Name of the model.
pub const MODEL: &str = "daka510000";

/// Pieces of a version.
pub const PIECES: u32 = 96;

/// Size of a piece.
pub const PIECE_BYTES: usize = 24_576;

/// Rate of the origin's link.
pub const ORIGIN_MBPS: f64 = 100.0;

/// Piece `index` of `version`. No two are equal.
pub fn piece(version: u64, index: u32) -> Vec<u8> {
    let mut bytes = format!("version {version} piece {index};").into_bytes();
    bytes.resize(PIECE_BYTES, b'.');
    bytes
}

/// Body of the manifest of `version`.
pub fn manifest(version: u64) -> String {
    let digests: Vec<_> = (0..PIECES)
        .map(|i| format!("\"{}\"", sha256::hex(&piece(version, i))))
        .collect();
    format!(
        r#"{{"model":"{MODEL}","version":{version},"chunk-bytes":{PIECE_BYTES},"layers":16,"digests":[{}]}}"#,
        digests.join(",")
    )
}
