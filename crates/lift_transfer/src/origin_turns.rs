//! Turns of reads from the origin.

use std::time;

/// When each chunk may be read from the origin.
///
/// All agents start a version at about the same time, so each knows without a message when
/// its chunk is next: the chunks that were missing at the start follow each other at the
/// rate of the origin. An agent that starts late finds its turns passed.
#[derive(Clone, Debug)]
pub(crate) struct OriginTurns {
    start: time::Instant,
    interval: time::Duration,
    /// For each chunk the number of chunks that come before it.
    turns: Vec<u32>,
}

impl OriginTurns {
    /// Gives a turn to each chunk that is not held.
    pub(crate) fn new(
        start: time::Instant,
        held: &[bool],
        chunk_size: u32,
        bytes_per_second: u64,
    ) -> Self {
        let mut before = 0;
        let turns = held.iter().map(|held| {
            let turn = before;
            before += u32::from(!held);
            turn
        });
        Self {
            start,
            turns: turns.collect(),
            interval: time::Duration::from_secs_f64(
                f64::from(chunk_size) / bytes_per_second as f64,
            ),
        }
    }

    /// Whether all turns have passed at `now`, so that the origin link has room.
    pub(crate) fn are_over(&self, now: time::Instant) -> bool {
        let last = self.turns.last().copied().unwrap_or_default();
        now > self.start + self.interval * last * 2
    }

    /// Whether the turn of `chunk` has come at `now`.
    pub(crate) fn has_come(&self, now: time::Instant, chunk: lift_types::ChunkIndex) -> bool {
        let turn = self.turns.get(chunk as usize).copied().unwrap_or_default();
        now >= self.start + self.interval * turn
    }
}
