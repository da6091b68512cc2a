//! Sealed datagrams.

use error_stack::ResultExt as _;
use subtle::ConstantTimeEq as _;

use crate::{frame_writer, link_key, link_keys, wire_error};

/// Bytes before the payload: wire version and key number.
const HEAD_BYTES: usize = 3;

/// Seals `message` into a datagram under the current key.
///
/// # Errors
///
/// Returns [`wire_error::WireError::Encode`] where the message can't be encoded.
pub fn seal<T: serde::Serialize>(
    keys: &link_keys::LinkKeys,
    message: &T,
) -> Result<Vec<u8>, error_stack::Report<wire_error::WireError>> {
    let payload = postcard::to_stdvec(message).change_context(wire_error::WireError::Encode)?;
    let key = keys.current();
    let mut buf = Vec::with_capacity(HEAD_BYTES + payload.len() + frame_writer::CHECKSUM_BYTES);
    buf.extend_from_slice(&crate::WIRE_VERSION.to_le_bytes());
    buf.push(key.id());
    buf.extend_from_slice(&payload);
    let checksum = checksum(key, &buf);
    buf.extend_from_slice(&checksum);
    Ok(buf)
}

/// Opens a datagram. A replay is not detected here: messages carry an incarnation and a
/// sequence number, and receivers ignore older ones.
///
/// # Errors
///
/// Returns an error where version, key, checksum or payload is wrong.
pub fn open<T: serde::de::DeserializeOwned>(
    keys: &link_keys::LinkKeys,
    buf: &[u8],
) -> Result<T, error_stack::Report<wire_error::WireError>> {
    let Some(sealed_len) = buf.len().checked_sub(frame_writer::CHECKSUM_BYTES) else {
        return Err(error_stack::Report::new(wire_error::WireError::Decode));
    };
    let (sealed, found) = buf.split_at(sealed_len);
    let [low, high, key_id, payload @ ..] = sealed else {
        return Err(error_stack::Report::new(wire_error::WireError::Decode));
    };
    let version = u16::from_le_bytes([*low, *high]);
    if version != crate::WIRE_VERSION {
        return Err(error_stack::Report::new(wire_error::WireError::Version {
            found: version,
        }));
    }
    let key = keys.find(*key_id)?;
    if !bool::from(checksum(key, sealed).ct_eq(found)) {
        return Err(error_stack::Report::new(wire_error::WireError::Checksum));
    }
    postcard::from_bytes(payload).change_context(wire_error::WireError::Decode)
}

fn checksum(key: &link_key::LinkKey, sealed: &[u8]) -> [u8; frame_writer::CHECKSUM_BYTES] {
    let mut out = [0; frame_writer::CHECKSUM_BYTES];
    out.copy_from_slice(&key.hash(&[b"datagram", sealed])[..frame_writer::CHECKSUM_BYTES]);
    out
}
