//! When parts of prompts were answered last.

use std::{mem, time};

/// Number of parts in a generation. Two generations are kept.
const GENERATION_PARTS: usize = 512;

/// Last time at which an answer to a request with a part was complete, for the parts that were
/// answered most recently.
///
/// The parts are kept in two generations. A full one replaces the older one, which bounds the
/// memory without a search for the oldest part.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartAnswers {
    recent: indexmap::IndexMap<lift_fleet::PromptPart, time::Instant>,
    older: indexmap::IndexMap<lift_fleet::PromptPart, time::Instant>,
    /// Time of the last answer to any request.
    last: Option<time::Instant>,
}

impl PartAnswers {
    /// Records an answer to a request with `part` that was complete at `at`.
    pub(crate) fn record(&mut self, at: time::Instant, part: &str) {
        self.record_any(at);
        let latest = self.last_answer(part).max(Some(at)).unwrap_or(at);
        if let Some(known) = self.recent.get_mut(part) {
            *known = latest;
            return;
        }
        if self.recent.len() >= GENERATION_PARTS {
            self.older = mem::take(&mut self.recent);
        }
        self.recent.insert(String::from(part), latest);
    }

    /// Records an answer to a request of which nothing is kept.
    pub(crate) fn record_any(&mut self, at: time::Instant) {
        self.last = self.last.max(Some(at));
    }

    /// When an answer to a request with `part` was complete last, if that is known.
    pub(crate) fn last_answer(&self, part: &str) -> Option<time::Instant> {
        let known = self.recent.get(part).or_else(|| self.older.get(part));
        known.copied()
    }

    /// When an answer to any request was complete last.
    pub(crate) fn last_of_any(&self) -> Option<time::Instant> {
        self.last
    }
}
