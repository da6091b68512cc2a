//! Recent configuration changes with the first reply to each.

use std::{collections, time};

use crate::change_reply;

/// Time for which a change is kept.
const RETENTION: time::Duration = time::Duration::from_hours(24);

/// Maximum number of changes in one of the 16 shards. Together they hold about three times the
/// changes of a day at 22,000 a day. Without a limit, a program that resends changes under new
/// ids could exhaust the memory.
const MAX_CHANGES_PER_SHARD: usize = 4_096;

/// Hash of a change and the first reply to it. Duplicates of the change receive the same reply;
/// the hash distinguishes them from other changes under the same id.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) struct RecentChange {
    pub(crate) hash: lift_types::ChunkHash,
    pub(crate) reply: change_reply::ChangeReply,
}

/// One shard of recent changes, by change id.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) struct RecentChanges {
    changes: collections::HashMap<lift_types::ChangeId, RecentChange>,
    oldest_first: collections::VecDeque<(time::SystemTime, lift_types::ChangeId)>,
}

impl RecentChanges {
    /// Finds a recent change by its id.
    pub(crate) fn find(&self, id: &str) -> Option<&RecentChange> {
        self.changes.get(id)
    }

    /// Adds a change. Drops changes older than [`RETENTION`], and the oldest ones above
    /// [`MAX_CHANGES_PER_SHARD`].
    pub(crate) fn insert(
        &mut self,
        id: lift_types::ChangeId,
        change: RecentChange,
        at: time::SystemTime,
    ) {
        while let Some((first, _)) = self.oldest_first.front() {
            let age = at.duration_since(*first).unwrap_or_default();
            if age < RETENTION && self.oldest_first.len() < MAX_CHANGES_PER_SHARD {
                break;
            }
            if let Some((_, id)) = self.oldest_first.pop_front() {
                self.changes.remove(&id);
            }
        }
        self.oldest_first.push_back((at, id.clone()));
        self.changes.insert(id, change);
    }
}
