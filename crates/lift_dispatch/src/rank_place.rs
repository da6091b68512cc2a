//! Place of a request among the ranks of its service.

use std::time;

/// Largest value of the priority that engines understand.
const MAX_ENGINE_PRIORITY: usize = 9;

/// Place of a request's rank among those of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankPlace {
    /// Number of more urgent ranks.
    pub(crate) position: usize,
    /// Number of ranks of the service, at least two.
    pub(crate) count: usize,
    /// Shortest target latency of this rank and the more urgent ones.
    pub(crate) shortest_target: time::Duration,
}

impl RankPlace {
    /// Priority for the engine, from 0, the most urgent, to 9. More than ten ranks share the
    /// values.
    pub fn engine_priority(&self) -> u8 {
        let last = self.count.saturating_sub(1);
        let priority = match last > MAX_ENGINE_PRIORITY {
            true => self.position * MAX_ENGINE_PRIORITY / last,
            false => self.position,
        };
        priority.min(MAX_ENGINE_PRIORITY) as u8
    }

    /// From 0 for the most urgent rank to 1 for the least urgent.
    pub(crate) fn depth(&self) -> f64 {
        self.position as f64 / self.count.saturating_sub(1).max(1) as f64
    }

    /// Number of less urgent ranks.
    pub(crate) fn less_urgent(&self) -> usize {
        self.count.saturating_sub(self.position + 1)
    }
}
