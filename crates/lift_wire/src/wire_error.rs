//! Why a connection or a message is refused.

use crate::purpose;

/// Failure of a connection or datagram. After any of these a connection is closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The connection ended or broke.
    #[error("the connection ended")]
    Closed,
    /// The other end speaks another wire version.
    #[error("wire version {found} of the other end is not {expected}", expected = crate::WIRE_VERSION)]
    Version {
        /// Version of the other end.
        found: u16,
    },
    /// The other end holds no common key.
    #[error("the other end uses an unknown link key {key_id}")]
    UnknownKey {
        /// Number of its key.
        key_id: u8,
    },
    /// The other end could not prove that it holds the key.
    #[error("the proof of the link key is wrong")]
    Proof,
    /// The connection was opened for something that this port doesn't serve.
    #[error("this port doesn't serve connections for {found}")]
    Purpose {
        /// What the other end asked for.
        found: purpose::Purpose,
    },
    /// The frame is longer than [`crate::MAX_FRAME_BYTES`].
    #[error("a frame of {length} bytes is over the limit of {limit}", limit = crate::MAX_FRAME_BYTES)]
    TooLong {
        /// Length of the payload in bytes.
        length: u64,
    },
    /// The checksum is wrong: the frame was changed, cut, doubled or out of order.
    #[error("the checksum of a frame is wrong")]
    Checksum,
    /// The payload is not a message that this version knows.
    #[error("the payload is not a known message")]
    Decode,
    /// The message can't be encoded.
    #[error("the message can't be encoded")]
    Encode,
}
