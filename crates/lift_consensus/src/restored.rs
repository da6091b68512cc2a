//! What a member finds on its disk.

use crate::{entry, hard_state, snapshot};

/// State from which a replica starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// Term and vote.
    pub hard_state: hard_state::HardState,
    /// Newest snapshot.
    pub snapshot: Option<snapshot::Snapshot>,
    /// Consecutive entries. The first may be below the snapshot's position.
    pub entries: Vec<entry::Entry>,
}
