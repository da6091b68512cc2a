//! Durable state of a member, as read at start.

use crate::{entry, hard_state, snapshot};

/// State that was read from disk and from which a replica starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Term and vote.
    pub hard_state: hard_state::HardState,
    /// Newest snapshot, if there is one.
    pub snapshot: Option<snapshot::Snapshot>,
    /// Consecutive entries. They may start at or below the snapshot's index.
    pub entries: Vec<entry::Entry>,
}
