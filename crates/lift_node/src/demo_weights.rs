//! Weights of the demo.

use std::{fs, path};

use rand::RngExt as _;

use crate::demo_error;

/// Length of generated weights.
const GENERATED_BYTES: usize = 32 * 1024 * 1024;

/// Longest chunk.
const MAX_CHUNK_BYTES: usize = 1024 * 1024;

/// Shortest chunk.
const MIN_CHUNK_BYTES: usize = 16 * 1024;

/// Number of chunks that small weights are cut into, so that they still spread.
const MIN_CHUNKS: usize = 64;

/// Reads a file, or generates weights.
pub(crate) fn load(
    file: Option<&path::Path>,
) -> Result<bytes::Bytes, error_stack::Report<demo_error::DemoError>> {
    let Some(file) = file else {
        return Ok(generate(GENERATED_BYTES));
    };
    let unusable = |problem: String| demo_error::DemoError::Weights {
        file: file.display().to_string(),
        problem,
    };
    let buf = fs::read(file).map_err(|e| unusable(e.kind().to_string()))?;
    if buf.is_empty() {
        return Err(unusable(String::from("the file is empty")).into());
    }
    Ok(bytes::Bytes::from(buf))
}

/// Makes random weights.
pub(crate) fn generate(length: usize) -> bytes::Bytes {
    let mut buf = vec![0; length];
    rand::rng().fill(&mut buf[..]);
    bytes::Bytes::from(buf)
}

/// Weights that differ in the last byte, so that all chunks but one are shared.
pub(crate) fn changed(weights: &bytes::Bytes) -> bytes::Bytes {
    let mut buf = weights.to_vec();
    if let Some(byte) = buf.last_mut() {
        *byte ^= 1;
    }
    bytes::Bytes::from(buf)
}

/// Length of a chunk for weights of this length.
pub(crate) fn chunk_size(length: usize) -> u32 {
    (length / MIN_CHUNKS).clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES) as u32
}
