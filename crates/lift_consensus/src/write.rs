//! Write to the disk.

use crate::{entry, hard_state, snapshot};

/// Changes that are written and synced together. An entry replaces the existing entry at its
/// index and all later ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Sequence number of the write. The first write has number 1.
    pub number: u64,
    /// Snapshot received from the leader. It replaces the entries up to its index, or the
    /// whole log if the log does not contain its last entry, and is saved before the rest.
    pub install_snapshot: Option<snapshot::Snapshot>,
    /// New term and vote, if they changed.
    pub hard_state: Option<hard_state::HardState>,
    /// Entries to append.
    pub entries: Vec<entry::Entry>,
    /// Index up to which a synced snapshot covers the entries, so that they may be deleted.
    pub compact_to: Option<lift_types::LogIndex>,
}

impl Write {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.install_snapshot.is_none()
            && self.hard_state.is_none()
            && self.entries.is_empty()
            && self.compact_to.is_none()
    }
}
