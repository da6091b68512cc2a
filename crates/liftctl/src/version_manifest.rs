//! Manifest of a file.

use std::{fs, io, path};

use io::Read as _;

use crate::cli_error;

/// Hashes `file` chunk by chunk, so that memory does not grow with its length.
pub(crate) fn build(
    file: &path::Path,
    name: &str,
    chunk_size: u32,
) -> Result<lift_types::Manifest, cli_error::CliError> {
    let wrong = |e: String| cli_error::CliError::Invalid(format!("{}: {e}", file.display()));
    let mut source = fs::File::open(file).map_err(|e| wrong(e.to_string()))?;
    let mut manifest = lift_types::Manifest {
        version: String::from(name),
        length: 0,
        chunk_size,
        chunks: Vec::new(),
        whole: lift_types::ChunkHash([0; 32]),
    };
    let mut whole = blake3::Hasher::new();
    let mut buf = Vec::with_capacity(chunk_size as usize);
    loop {
        buf.clear();
        let mut part = source.by_ref().take(u64::from(chunk_size));
        part.read_to_end(&mut buf)
            .map_err(|e| wrong(e.to_string()))?;
        if buf.is_empty() {
            break;
        }
        whole.update(&buf);
        manifest.length += buf.len() as u64;
        manifest.chunks.push(lift_types::ChunkHash::of(&buf));
    }
    manifest.whole = lift_types::ChunkHash(*whole.finalize().as_bytes());
    manifest.check().map_err(|e| wrong(e.to_string()))?;
    Ok(manifest)
}
