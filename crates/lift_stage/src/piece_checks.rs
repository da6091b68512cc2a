//! How old the check of a staging area is.

use std::time;

use crate::shared;

/// Time for which a piece may have been spoilt when the backend server takes it.
const SPOILT_GRACE: time::Duration = time::Duration::from_secs(3);

/// Greatest age at which a check allows an order. An order that is answered in time is accepted
/// while the check still holds.
pub const MAX_CHECK_AGE: time::Duration = SPOILT_GRACE.saturating_sub(shared::BACKEND_TIMEOUT);

/// Time in which all pieces are to be read.
const READ_BACK_TIME: time::Duration = time::Duration::from_millis(500);

/// Fewest reads at once.
const MIN_READS: usize = 2;

/// Most reads at once. It bounds the memory that their pieces take.
const MAX_READS: usize = 16;

/// When each piece was read back, and what follows for the order to load them all.
///
/// The backend server loads what is staged without a check of its own, so the answer to a read
/// is evidence for a short time only. A piece counts from the *start* of its read, because the
/// server may have read it at any moment after that.
///
/// See `docs/platform.md`.
#[derive(Clone, Debug)]
pub struct PieceChecks {
    pieces: lift_types::ChunkIndex,
    read_at: indexmap::IndexMap<lift_types::ChunkIndex, time::Instant>,
    shortest_read: time::Duration,
}

impl PieceChecks {
    /// Nothing is known of any of the pieces.
    pub fn new(pieces: lift_types::ChunkIndex) -> Self {
        Self {
            pieces,
            read_at: indexmap::IndexMap::new(),
            shortest_read: time::Duration::MAX,
        }
    }

    /// Notes that a piece was found whole by a read from `started_at` to `ended_at`.
    pub fn record(
        &mut self,
        index: lift_types::ChunkIndex,
        started_at: time::Instant,
        ended_at: time::Instant,
    ) {
        self.read_at.insert(index, started_at);
        let took = ended_at.saturating_duration_since(started_at);
        self.shortest_read = self.shortest_read.min(took);
    }

    /// Pieces that have to be read before an order: those that were not read, and then those that
    /// were read too long ago, the oldest first.
    pub fn due(&self, now: time::Instant) -> Vec<lift_types::ChunkIndex> {
        let unread = (0..self.pieces).filter(|i| !self.read_at.contains_key(i));
        let is_old = |at: &time::Instant| now.saturating_duration_since(*at) > MAX_CHECK_AGE;
        let mut old: Vec<_> = self.read_at.iter().filter(|(_, at)| is_old(at)).collect();
        old.sort_by_key(|(_, at)| **at);
        unread.chain(old.into_iter().map(|(i, _)| *i)).collect()
    }

    /// Age of the check: that of the oldest read. `None` as long as a piece was not read.
    pub fn age(&self, now: time::Instant) -> Option<time::Duration> {
        let is_whole = self.read_at.len() == self.pieces as usize;
        let oldest = self.read_at.values().min().filter(|_| is_whole)?;
        Some(now.saturating_duration_since(*oldest))
    }

    /// Whether an order may be sent.
    pub fn allows_order(&self, now: time::Instant) -> bool {
        self.age(now).is_some_and(|age| age <= MAX_CHECK_AGE)
    }

    /// Whether an order that was answered, or given up, at `now` may have been accepted when the
    /// check proved nothing any more.
    pub fn is_outlived(&self, now: time::Instant) -> bool {
        self.age(now).is_none_or(|age| age > SPOILT_GRACE)
    }

    /// Reads that may run at once. A server that reads fast gets few, and one that reads slowly as
    /// many as all pieces need to be read in time.
    pub fn reads_at_once(&self) -> usize {
        if self.read_at.is_empty() {
            return MIN_READS;
        }
        let total = self.shortest_read.as_millis() * u128::from(self.pieces);
        let reads = total.div_ceil(READ_BACK_TIME.as_millis());
        usize::try_from(reads).map_or(MAX_READS, |reads| reads.clamp(MIN_READS, MAX_READS))
    }
}
