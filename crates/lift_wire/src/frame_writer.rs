//! Writes frames.

use std::mem;

use bytes::BufMut as _;
use error_stack::ResultExt as _;
use tokio::io;
use tokio::io::AsyncWriteExt as _;

use crate::wire_error;

/// Length of the checksum of a frame, in bytes.
pub(crate) const CHECKSUM_BYTES: usize = 16;

/// Largest space that a connection keeps between messages, in bytes. A process has many
/// connections, each of which carries a long message now and then.
const KEPT_BYTES: usize = 8 * 1024;

/// Writes frames to one direction of a connection.
#[derive(Debug)]
pub struct FrameWriter<W> {
    io: W,
    key: [u8; 32],
    sequence: u64,
    buf: bytes::BytesMut,
    /// Most bytes that `buf` has held since the last flush.
    buffered_most: usize,
    /// Space for one payload, kept between messages.
    scratch: Vec<u8>,
}

impl<W: io::AsyncWrite + Unpin> FrameWriter<W> {
    pub(crate) fn new(io: W, key: [u8; 32]) -> Self {
        Self {
            io,
            key,
            sequence: 0,
            buf: bytes::BytesMut::new(),
            buffered_most: 0,
            scratch: Vec::new(),
        }
    }

    /// Adds `message` to the buffer without writing. Several messages can share one write.
    ///
    /// # Errors
    ///
    /// Returns [`wire_error::WireError::Encode`] or [`wire_error::WireError::TooLong`];
    /// the buffer is then unchanged.
    pub fn push<T: serde::Serialize>(
        &mut self,
        message: &T,
    ) -> Result<(), error_stack::Report<wire_error::WireError>> {
        let mut scratch = mem::take(&mut self.scratch);
        scratch.clear();
        let payload =
            postcard::to_extend(message, scratch).change_context(wire_error::WireError::Encode)?;
        let length = payload.len() as u64;
        if length > u64::from(crate::MAX_FRAME_BYTES) {
            return Err(error_stack::Report::new(wire_error::WireError::TooLong {
                length,
            }));
        }
        let checksum = checksum(&self.key, self.sequence, &payload);
        self.sequence += 1;
        self.buf.put_u32_le(length as u32);
        self.buf.put_slice(&payload);
        self.buf.put_slice(&checksum);
        self.buffered_most = self.buffered_most.max(self.buf.len());
        if payload.capacity() <= KEPT_BYTES {
            self.scratch = payload;
        }
        Ok(())
    }

    /// Number of bytes that wait for [`FrameWriter::flush`].
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Writes what was pushed. When the future is dropped in between, the connection must
    /// be closed, since a part of a frame may have been written.
    ///
    /// # Errors
    ///
    /// Returns [`wire_error::WireError::Closed`] where the connection broke.
    pub async fn flush(&mut self) -> Result<(), error_stack::Report<wire_error::WireError>> {
        self.io
            .write_all_buf(&mut self.buf)
            .await
            .change_context(wire_error::WireError::Closed)?;
        if mem::take(&mut self.buffered_most) > KEPT_BYTES {
            self.buf = bytes::BytesMut::new();
        }
        self.io
            .flush()
            .await
            .change_context(wire_error::WireError::Closed)
    }

    /// Pushes `message` and flushes.
    ///
    /// # Errors
    ///
    /// Returns what [`FrameWriter::push`] and [`FrameWriter::flush`] return.
    pub async fn send<T: serde::Serialize>(
        &mut self,
        message: &T,
    ) -> Result<(), error_stack::Report<wire_error::WireError>> {
        self.push(message)?;
        self.flush().await
    }
}

/// Keyed checksum of a frame over its sequence number, length and payload.
pub(crate) fn checksum(key: &[u8; 32], sequence: u64, payload: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(payload);
    let mut out = [0; CHECKSUM_BYTES];
    out.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
    out
}
