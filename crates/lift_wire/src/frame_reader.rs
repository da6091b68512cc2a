//! Reads frames.

use bytes::Buf as _;
use error_stack::ResultExt as _;
use subtle::ConstantTimeEq as _;
use tokio::io;
use tokio::io::AsyncReadExt as _;

use crate::{frame_writer, wire_error};

/// Length of the head of a frame, in bytes.
const HEAD_BYTES: usize = 4;

/// Size by which the read buffer grows, in bytes. The space of a longer frame is not kept: a
/// process has many connections, each of which carries a long message now and then.
const READ_BYTES: usize = 16 * 1024;

/// Reads frames from one direction of a connection.
#[derive(Debug)]
pub struct FrameReader<R> {
    io: R,
    key: [u8; 32],
    sequence: u64,
    buf: bytes::BytesMut,
}

impl<R: io::AsyncRead + Unpin> FrameReader<R> {
    pub(crate) fn new(io: R, key: [u8; 32]) -> Self {
        Self {
            io,
            key,
            sequence: 0,
            buf: bytes::BytesMut::new(),
        }
    }

    /// Number of bytes of the next message that have arrived. A change between two calls of
    /// [`FrameReader::recv`] shows that a long message makes progress.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Reads the next message. The future may be dropped and called again; bytes that
    /// were read stay in the buffer.
    ///
    /// # Errors
    ///
    /// Returns an error where the connection ended or the frame is damaged, too long or
    /// unknown. The connection must then be closed.
    pub async fn recv<T: serde::de::DeserializeOwned>(
        &mut self,
    ) -> Result<T, error_stack::Report<wire_error::WireError>> {
        loop {
            if let Some(message) = self.take()? {
                return Ok(message);
            }
            self.buf.reserve(READ_BYTES);
            let read = self
                .io
                .read_buf(&mut self.buf)
                .await
                .change_context(wire_error::WireError::Closed)?;
            if read == 0 {
                return Err(error_stack::Report::new(wire_error::WireError::Closed));
            }
        }
    }

    fn take<T: serde::de::DeserializeOwned>(
        &mut self,
    ) -> Result<Option<T>, error_stack::Report<wire_error::WireError>> {
        let Some(head) = self.buf.first_chunk::<HEAD_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*head);
        if length > crate::MAX_FRAME_BYTES {
            let length = u64::from(length);
            return Err(error_stack::Report::new(wire_error::WireError::TooLong {
                length,
            }));
        }
        let payload_end = HEAD_BYTES + length as usize;
        let frame_end = payload_end + frame_writer::CHECKSUM_BYTES;
        if self.buf.len() < frame_end {
            self.buf.reserve(frame_end - self.buf.len());
            return Ok(None);
        }
        let payload = &self.buf[HEAD_BYTES..payload_end];
        let expected = frame_writer::checksum(&self.key, self.sequence, payload);
        if !bool::from(expected.ct_eq(&self.buf[payload_end..frame_end])) {
            return Err(error_stack::Report::new(wire_error::WireError::Checksum));
        }
        let message =
            postcard::from_bytes(payload).change_context(wire_error::WireError::Decode)?;
        self.sequence += 1;
        self.buf.advance(frame_end);
        if frame_end > READ_BYTES {
            self.buf = bytes::BytesMut::from(&self.buf[..]);
        }
        Ok(Some(message))
    }
}
