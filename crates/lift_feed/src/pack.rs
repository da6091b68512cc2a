//! Compression of documents.

use std::io::{Read as _, Write as _};

use error_stack::ResultExt as _;

use crate::feed_error;

/// Longest document, in bytes. It bounds what a small compressed text can unpack to.
const MAX_DOCUMENT_BYTES: u64 = 16 * 1024 * 1024;

type Result<T> = std::result::Result<T, error_stack::Report<feed_error::FeedError>>;

/// Compresses the text of a document. Documents repeat the same words for each route, and
/// every node gets every version, so the fastest level saves most of the bytes.
///
/// # Errors
///
/// Returns [`feed_error::FeedError::Pack`] where the text is too long.
pub fn pack(text: &[u8]) -> Result<bytes::Bytes> {
    if text.len() as u64 > MAX_DOCUMENT_BYTES {
        return Err(error_stack::Report::new(feed_error::FeedError::Pack));
    }
    let level = flate2::Compression::fast();
    let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), level);
    let written = encoder.write_all(text);
    written.change_context(feed_error::FeedError::Pack)?;
    let packed = encoder.finish();
    Ok(packed.change_context(feed_error::FeedError::Pack)?.into())
}

/// Unpacks the text of a document.
///
/// # Errors
///
/// Returns [`feed_error::FeedError::Pack`] where the bytes are damaged or unpack to more than
/// the longest document.
pub fn unpack(packed: &[u8]) -> Result<bytes::Bytes> {
    let mut text = Vec::new();
    let decoder = flate2::read::DeflateDecoder::new(packed);
    let read = decoder.take(MAX_DOCUMENT_BYTES + 1).read_to_end(&mut text);
    read.change_context(feed_error::FeedError::Pack)?;
    if text.len() as u64 > MAX_DOCUMENT_BYTES {
        return Err(error_stack::Report::new(feed_error::FeedError::Pack));
    }
    Ok(text.into())
}
