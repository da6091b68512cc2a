//! Envelope of the control messages.

use crate::control_error;

/// Version of the control messages. A message of another version is refused.
pub(crate) const MESSAGE_VERSION: u16 = 1;

/// Kind of a packet that asks.
pub(crate) const REQUEST: u8 = 1;

/// Kind of a packet that answers the request of the same id.
pub(crate) const REPLY: u8 = 2;

/// Kind of a packet with a new policy. Its id is zero.
pub(crate) const PUSH: u8 = 3;

/// One frame of a control connection. The body is decoded apart from the envelope, so that
/// an unknown message can be refused by its id while the connection stays open.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct Packet {
    pub(crate) version: u16,
    pub(crate) kind: u8,
    pub(crate) id: lift_types::RequestId,
    pub(crate) body: bytes::Bytes,
}

impl Packet {
    /// Wraps an encoded message.
    pub(crate) fn new(kind: u8, id: lift_types::RequestId, body: bytes::Bytes) -> Self {
        Self {
            version: MESSAGE_VERSION,
            kind,
            id,
            body,
        }
    }

    /// Decodes the body of a packet of the expected kind.
    pub(crate) fn open<T: serde::de::DeserializeOwned>(
        &self,
        kind: u8,
    ) -> Result<T, control_error::ControlError> {
        if self.version != MESSAGE_VERSION {
            let problem = format!(
                "message version {}; allowed: {MESSAGE_VERSION}",
                self.version
            );
            return Err(control_error::ControlError::UnknownMessage { problem });
        }
        if self.kind != kind {
            let problem = format!("message kind {}; expected: {kind}", self.kind);
            return Err(control_error::ControlError::UnknownMessage { problem });
        }
        postcard::from_bytes(&self.body).map_err(|e| {
            let problem = format!("the body can't be decoded: {e}");
            control_error::ControlError::UnknownMessage { problem }
        })
    }
}

/// Longest body, in bytes. The rest of a frame is for the envelope.
const MAX_BODY_BYTES: usize = lift_wire::MAX_FRAME_BYTES as usize - 64;

/// Encodes a message for the body of a packet. A message that does not fit into a frame is
/// refused here, since the writer could only close the connection.
pub(crate) fn encode<T: serde::Serialize>(
    message: &T,
) -> Result<bytes::Bytes, control_error::ControlError> {
    let encoded = postcard::to_stdvec(message).map_err(|e| {
        let problem = format!("the message can't be encoded: {e}");
        control_error::ControlError::UnknownMessage { problem }
    })?;
    if encoded.len() > MAX_BODY_BYTES {
        let problem = format!("{} bytes; allowed: at most {MAX_BODY_BYTES}", encoded.len());
        return Err(control_error::ControlError::Invalid {
            path: String::from("message"),
            problem,
        });
    }
    Ok(bytes::Bytes::from(encoded))
}
