//! One position of the replicated log.

use crate::payload;

/// An entry of the replicated log. Two logs that hold an entry of the same index and term
/// are equal up to it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: lift_types::LogIndex,
    /// Term of the leader that appended the entry.
    pub term: lift_types::Term,
    /// Content of the entry.
    pub payload: payload::Payload,
}

impl Entry {
    /// Approximate size in memory and on a connection, in bytes.
    pub fn size(&self) -> usize {
        const HEAD_BYTES: usize = 24;
        const MEMBER_BYTES: usize = 48;
        HEAD_BYTES
            + match &self.payload {
                payload::Payload::Noop => 0,
                payload::Payload::Command(command) => command.len(),
                payload::Payload::Members(members) => members.len() * MEMBER_BYTES,
            }
    }
}
