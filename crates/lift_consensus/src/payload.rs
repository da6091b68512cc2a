//! Payload of a log entry.

use crate::member_set;

/// Operation that a log entry carries.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Payload {
    /// No operation. A new leader first appends this or `Members`, because it may commit
    /// entries of earlier terms only together with an entry of its own term.
    Noop,
    /// Command for the state machine, applied once the entry is committed.
    Command(bytes::Bytes),
    /// New member set. It is in effect as soon as the entry is appended.
    Members(member_set::MemberSet),
}
