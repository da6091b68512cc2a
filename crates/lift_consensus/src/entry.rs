//! An entry of the replicated log.

use crate::payload;

/// Entry of the replicated log. If two logs hold an entry with the same index and term, the
/// logs are identical up to and including that entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Position in the log. The first entry has index 1.
    pub index: lift_types::LogIndex,
    /// Term of the leader that appended the entry.
    pub term: lift_types::Term,
    /// Content of the entry.
    pub payload: payload::Payload,
}

impl Entry {
    /// Returns the approximate size in memory and on the wire, in bytes.
    pub fn size(&self) -> usize {
        const HEADER_BYTES: usize = 24;
        const MEMBER_BYTES: usize = 48;
        HEADER_BYTES
            + match &self.payload {
                payload::Payload::Noop => 0,
                payload::Payload::Command(command) => command.len(),
                payload::Payload::Members(members) => members.len() * MEMBER_BYTES,
            }
    }
}
