//! New chunks that a home host announces step by step.

use std::time;

/// Neighbours that are told first. Each passes the chunk on, so the number of holders grows
/// by this factor in each round.
pub(crate) const FIRST_TOLD: usize = 3;

/// Time after which all neighbours are told, in case those told first are lost.
const TELL_ALL_AFTER: time::Duration = time::Duration::from_secs(1);

/// Chunks that this host brought into its region and that not all neighbours know of.
///
/// If all neighbours were told at once, all would ask for the same chunk at the same time,
/// and all but a few would be refused.
#[derive(Debug, Default)]
pub(crate) struct Seeds {
    since: indexmap::IndexMap<lift_types::ChunkIndex, (time::Instant, usize)>,
}

impl Seeds {
    pub(crate) fn insert(&mut self, now: time::Instant, chunk: lift_types::ChunkIndex) {
        self.since.insert(chunk, (now, 0));
    }

    /// Counts an upload.
    pub(crate) fn sent(&mut self, chunk: lift_types::ChunkIndex) {
        if let Some((_, sent)) = self.since.get_mut(&chunk) {
            *sent += 1;
        }
    }

    /// Takes the chunks that all neighbours may know of now.
    pub(crate) fn take_ready(&mut self, now: time::Instant) -> Vec<lift_types::ChunkIndex> {
        let mut ready = Vec::new();
        self.since.retain(|chunk, (since, sent)| {
            let is_ready =
                *sent >= FIRST_TOLD || now.saturating_duration_since(*since) >= TELL_ALL_AFTER;
            if is_ready {
                ready.push(*chunk);
            }
            !is_ready
        });
        ready
    }

    pub(crate) fn clear(&mut self) {
        self.since.clear();
    }
}
