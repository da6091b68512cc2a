//! Description of one version of the weights.

use std::sync;

use crate::piece_digest;

/// Model, version and digests of its pieces, in order.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PieceManifest {
    /// The model.
    pub model: lift_fleet::ModelName,
    /// Version of its weights.
    pub version: lift_fleet::WeightsVersion,
    /// Length of each piece, in bytes.
    pub piece_bytes: u32,
    /// Digest of each piece.
    pub digests: Vec<piece_digest::PieceDigest>,
}

/// Limit of a piece that is read, where the manifest names a smaller one. It leaves room for
/// servers whose pieces are longer than they say; digests decide which are right.
const MIN_PIECE_LIMIT_BYTES: usize = 1024 * 1024;

impl PieceManifest {
    /// Whether it describes the weights that were asked for: this version, or any one without it.
    /// A manifest without pieces describes none; all its pieces would be in place at once.
    pub fn is_of(&self, model: &str, version: Option<lift_fleet::WeightsVersion>) -> bool {
        let is_version = version.is_none_or(|version| version == self.version);
        is_version && self.model == model && !self.digests.is_empty()
    }

    /// Largest answer that may be read as a piece, in bytes.
    pub fn max_piece_bytes(&self) -> usize {
        MIN_PIECE_LIMIT_BYTES.max(self.piece_bytes as usize)
    }

    /// Number of pieces.
    pub fn count(&self) -> lift_types::ChunkIndex {
        lift_types::ChunkIndex::try_from(self.digests.len()).unwrap_or(lift_types::ChunkIndex::MAX)
    }

    /// Whether there is a piece `index`.
    pub fn has_piece(&self, index: lift_types::ChunkIndex) -> bool {
        (index as usize) < self.digests.len()
    }

    /// Whether `buf` is piece `index`.
    pub fn matches(&self, index: lift_types::ChunkIndex, buf: &[u8]) -> bool {
        let digest = self.digests.get(index as usize);
        digest.is_some_and(|digest| *digest == piece_digest::PieceDigest::of(buf))
    }

    /// The manifest as the exchange of chunks knows it. It is told of each chunk whether it
    /// matches, so its hashes are carried along only.
    pub(crate) fn chunks(&self) -> sync::Arc<lift_types::Manifest> {
        let all: Vec<u8> = self.digests.iter().flat_map(|d| d.0).collect();
        sync::Arc::new(lift_types::Manifest {
            version: format!("{}/{}", self.model, self.version),
            length: self.digests.len() as u64 * u64::from(self.piece_bytes),
            chunk_size: self.piece_bytes,
            chunks: self
                .digests
                .iter()
                .map(|d| lift_types::ChunkHash(d.0))
                .collect(),
            whole: lift_types::ChunkHash::of(&all),
        })
    }
}
