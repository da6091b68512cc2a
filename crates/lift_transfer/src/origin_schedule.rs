//! Schedule of reads from the origin.

use std::time;

/// Times from which on each chunk may be read from the origin.
///
/// All agents start a version at about the same time, so each can compute the schedule without
/// a message: the chunks that were missing at the start follow each other at the rate of the
/// origin. The schedule of an agent that starts late begins late too.
#[derive(Clone, Debug)]
pub(crate) struct OriginSchedule {
    start: time::Instant,
    interval: time::Duration,
    /// For each chunk, the number of missing chunks that are scheduled before it.
    positions: Vec<u32>,
}

impl OriginSchedule {
    /// Schedules each chunk that is not held, from `start` on. `chunk_size` is in bytes.
    pub(crate) fn new(
        start: time::Instant,
        held: &[bool],
        chunk_size: u32,
        bytes_per_second: u64,
    ) -> Self {
        let mut next = 0;
        let positions = held.iter().map(|held| {
            let position = next;
            next += u32::from(!held);
            position
        });
        Self {
            start,
            positions: positions.collect(),
            interval: time::Duration::from_secs_f64(
                f64::from(chunk_size) / bytes_per_second as f64,
            ),
        }
    }

    /// Returns whether twice the length of the schedule has passed at `now`, so that the origin
    /// link has spare capacity.
    pub(crate) fn is_over(&self, now: time::Instant) -> bool {
        let last = self.positions.last().copied().unwrap_or_default();
        now > self.start + self.interval * last * 2
    }

    /// Returns whether `chunk` may be read at `now`.
    pub(crate) fn is_due(&self, now: time::Instant, chunk: lift_types::ChunkIndex) -> bool {
        let position = self
            .positions
            .get(chunk as usize)
            .copied()
            .unwrap_or_default();
        now >= self.start + self.interval * position
    }
}
