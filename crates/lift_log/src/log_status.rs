//! State of a member.

use std::time;

/// What one member knows of the log, for status pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogStatus {
    /// Own identifier.
    pub id: lift_types::MemberId,
    /// Current term.
    pub term: lift_types::Term,
    /// Last committed entry.
    pub commit: lift_types::LogIndex,
    /// Last entry of the log.
    pub last: lift_types::LogIndex,
    /// Members in force.
    pub members: lift_consensus::MemberSet,
    /// Whether `members` is known to be committed. If not, it may not stay in force, so nothing
    /// that can't be undone may follow from it.
    pub is_committed: bool,
    /// For each other member when a message was sent that it has answered. Only a leader
    /// knows this.
    pub answers: indexmap::IndexMap<lift_types::MemberId, time::Instant>,
}

impl LogStatus {
    /// Status of a member that has not read its files yet.
    pub(crate) fn not_started(id: lift_types::MemberId) -> Self {
        Self {
            id,
            term: 0,
            commit: 0,
            last: 0,
            members: lift_consensus::MemberSet::default(),
            is_committed: false,
            answers: indexmap::IndexMap::new(),
        }
    }
}
