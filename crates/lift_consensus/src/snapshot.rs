//! Snapshot of the state machine.

use crate::member_set;

/// State of the state machine that replaces all log entries up to `index`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the state includes.
    pub index: lift_types::LogIndex,
    /// Term of that entry.
    pub term: lift_types::Term,
    /// Members as of that entry.
    pub members: member_set::MemberSet,
    /// Encoded state of the state machine.
    pub state: bytes::Bytes,
}
