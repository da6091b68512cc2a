//! First message of a connection.

use crate::purpose;

/// What each end says first. It has a fixed shape in every wire version, so that a
/// version mismatch gives a clear refusal.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Hello {
    /// Wire version of the sender.
    pub version: u16,
    /// Number of the key that the session is based on.
    pub key_id: u8,
    /// Random bytes that make the session key new.
    pub nonce: [u8; 32],
    /// What the connection is for.
    pub purpose: purpose::Purpose,
}
