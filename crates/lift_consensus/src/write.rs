//! One write to the disk.

use crate::{entry, hard_state, snapshot};

/// Changes that are written and synced together. An entry replaces the entries of its
/// position and all later ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Number of the write, counted from one.
    pub number: u64,
    /// Snapshot of the leader that replaces the whole log. Saved before the rest.
    pub install: Option<snapshot::Snapshot>,
    /// New term and vote.
    pub hard_state: Option<hard_state::HardState>,
    /// New entries.
    pub entries: Vec<entry::Entry>,
    /// Entries up to this one are covered by a synced snapshot and may be deleted.
    pub compact: Option<lift_types::LogIndex>,
}

impl Write {
    /// Whether nothing is to be written.
    pub fn is_empty(&self) -> bool {
        self.install.is_none()
            && self.hard_state.is_none()
            && self.entries.is_empty()
            && self.compact.is_none()
    }
}
