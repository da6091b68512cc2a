//! Announcement of chunks that are new in a region, first to a few neighbours, then to all.

use std::time;

/// Maximum number of neighbours that get the first announcement of a new chunk, and number of
/// uploads after which it is announced to all. Each receiver can pass the chunk on, so the
/// number of holders grows by about this factor in each round.
pub(crate) const FIRST_RECEIVERS: usize = 3;

/// Time after which a chunk is announced to all, in case the first receivers are lost.
const ANNOUNCE_ALL_AFTER: time::Duration = time::Duration::from_secs(1);

/// Chunks that are new in this region and are not announced to all neighbours yet.
///
/// If a chunk were announced to all neighbours at once, all would request it at the same time,
/// and all but a few requests would be refused.
#[derive(Debug, Default)]
pub(crate) struct StaggeredAnnouncements {
    /// Time of the first announcement of each chunk, and number of its uploads since then.
    pending: indexmap::IndexMap<lift_types::ChunkIndex, (time::Instant, usize)>,
}

impl StaggeredAnnouncements {
    pub(crate) fn insert(&mut self, now: time::Instant, chunk: lift_types::ChunkIndex) {
        self.pending.insert(chunk, (now, 0));
    }

    /// Counts an upload of a chunk.
    pub(crate) fn record_upload(&mut self, chunk: lift_types::ChunkIndex) {
        if let Some((_, uploads)) = self.pending.get_mut(&chunk) {
            *uploads += 1;
        }
    }

    /// Removes and returns the chunks that are to be announced to all now.
    pub(crate) fn take_ready(&mut self, now: time::Instant) -> Vec<lift_types::ChunkIndex> {
        let mut ready = Vec::new();
        self.pending.retain(|chunk, (since, uploads)| {
            let is_ready = *uploads >= FIRST_RECEIVERS
                || now.saturating_duration_since(*since) >= ANNOUNCE_ALL_AFTER;
            if is_ready {
                ready.push(*chunk);
            }
            !is_ready
        });
        ready
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }
}
