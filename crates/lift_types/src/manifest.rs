//! Description of one version of the weights.

use std::ops;

use crate::{chunk_hash, chunk_index, key_group, manifest_error, version_id};

/// Number of key groups that the chunks of a version are divided into. It is fixed, so that
/// adding or removing hosts moves only complete groups and leaves the others where they are.
pub const CHUNK_KEY_GROUPS: key_group::KeyGroup = 256;

/// Length and hashes of one version of the weights, split into chunks.
///
/// A host stores and forwards a chunk only after verifying its hash against this manifest,
/// and loads a version only after verifying the complete weights against [`Manifest::whole`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Manifest {
    /// Version that this manifest describes.
    pub version: version_id::VersionId,
    /// Length of the weights in bytes.
    pub length: u64,
    /// Length of each chunk except the last one, which may be shorter, in bytes.
    pub chunk_size: u32,
    /// Hash of each chunk, in order.
    pub chunks: Vec<chunk_hash::ChunkHash>,
    /// Hash of the complete weights.
    pub whole: chunk_hash::ChunkHash,
}

impl Manifest {
    /// Splits `buf` into chunks of `chunk_size` bytes and hashes them. A `chunk_size` of zero
    /// counts as one.
    pub fn of(version: version_id::VersionId, buf: &[u8], chunk_size: u32) -> Self {
        let chunk_size = chunk_size.max(1);
        let chunks = buf
            .chunks(chunk_size as usize)
            .map(chunk_hash::ChunkHash::of)
            .collect();
        Self {
            version,
            length: buf.len() as u64,
            chunk_size,
            chunks,
            whole: chunk_hash::ChunkHash::of(buf),
        }
    }

    /// Checks that the version has a name and that length, chunk size and number of chunks agree.
    ///
    /// # Errors
    ///
    /// Returns the first check that failed.
    pub fn check(&self) -> Result<(), manifest_error::ManifestError> {
        if self.version.is_empty() {
            return Err(manifest_error::ManifestError::EmptyVersion);
        }
        if self.length == 0 || self.chunk_size == 0 {
            return Err(manifest_error::ManifestError::Empty);
        }
        let expected = self.length.div_ceil(u64::from(self.chunk_size));
        if expected != self.chunks.len() as u64 {
            return Err(manifest_error::ManifestError::ChunkCount {
                expected,
                found: self.chunks.len() as u64,
            });
        }
        Ok(())
    }

    /// Returns the byte range of chunk `index`, or `None` if there is no such chunk.
    pub fn range(&self, index: chunk_index::ChunkIndex) -> Option<ops::Range<u64>> {
        if index as usize >= self.chunks.len() {
            return None;
        }
        let start = u64::from(index) * u64::from(self.chunk_size);
        let end = (start + u64::from(self.chunk_size)).min(self.length);
        Some(start..end)
    }

    /// Returns the key group of chunk `index`. Consecutive chunks are in different groups, so
    /// that even a small version is spread over all home hosts, which own the key groups.
    pub fn key_group(&self, index: chunk_index::ChunkIndex) -> key_group::KeyGroup {
        (index % u32::from(CHUNK_KEY_GROUPS)) as key_group::KeyGroup
    }
}
