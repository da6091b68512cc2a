//! Body of a request to publish a version.

/// A manifest with its hashes as hexadecimal text.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestBody {
    /// Version that the manifest describes.
    pub version: lift_types::VersionId,
    /// Length of the weights in bytes.
    pub length: u64,
    /// Length of each chunk but the last one, in bytes.
    pub chunk_size: u32,
    /// Hash of each chunk, in order.
    pub chunks: Vec<String>,
    /// Hash of the whole weights.
    pub whole: String,
}

impl ManifestBody {
    /// Reads the hashes. Returns the path of the first one that is not 64 hexadecimal digits.
    pub(crate) fn decode(&self) -> Result<lift_types::Manifest, String> {
        let mut chunks = Vec::with_capacity(self.chunks.len());
        for (i, text) in self.chunks.iter().enumerate() {
            let hash = lift_types::ChunkHash::from_hex(text);
            chunks.push(hash.ok_or_else(|| format!("chunks[{i}]"))?);
        }
        let whole = lift_types::ChunkHash::from_hex(&self.whole);
        Ok(lift_types::Manifest {
            version: self.version.clone(),
            length: self.length,
            chunk_size: self.chunk_size,
            chunks,
            whole: whole.ok_or_else(|| String::from("whole"))?,
        })
    }
}

impl From<&lift_types::Manifest> for ManifestBody {
    fn from(manifest: &lift_types::Manifest) -> Self {
        Self {
            version: manifest.version.clone(),
            length: manifest.length,
            chunk_size: manifest.chunk_size,
            chunks: manifest.chunks.iter().map(|hash| hash.to_hex()).collect(),
            whole: manifest.whole.to_hex(),
        }
    }
}
