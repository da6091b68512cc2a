//! Content of a log entry.

use crate::member_set;

/// What an entry does once it is committed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Payload {
    /// Nothing. A new leader appends one or its members, because it may count replicas only for entries of
    /// its own term.
    Noop,
    /// Changes the state machine.
    Command(bytes::Bytes),
    /// Replaces the member set. In force from the moment it is appended.
    Members(member_set::MemberSet),
}
