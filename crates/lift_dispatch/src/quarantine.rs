//! Quarantine of parts of prompts.

use std::time;

use crate::server_ends;

/// How many more backend servers must have ended, one after the other, on one suspect than on
/// another before the latter is no longer suspected. One may be an ordinary crash.
const MIN_ENDS_APART: usize = 2;

/// Time span in which requests that hold all of some parts are refused.
///
/// One of the parts crashes backend servers. As long as nothing tells which one, requests that hold
/// only some of them are let through: a sound one is answered, which clears its parts, and one with
/// the part at fault is further evidence against it.
#[derive(Clone, Debug)]
pub(crate) struct Quarantine {
    /// The suspected parts, with the ends that each of them explains.
    suspects: indexmap::IndexMap<lift_fleet::PromptPart, server_ends::ServerEnds>,
    /// When the first backend server ended that the parts are blamed for.
    first_end: time::Instant,
    /// When the quarantine ends.
    pub(crate) until: time::Instant,
}

impl Quarantine {
    /// Begins a quarantine of parts, each with the ends that it explains, the first of them at
    /// `first_end`.
    pub(crate) fn new(
        suspects: indexmap::IndexMap<lift_fleet::PromptPart, server_ends::ServerEnds>,
        first_end: time::Instant,
        until: time::Instant,
    ) -> Self {
        Self {
            suspects,
            first_end,
            until,
        }
    }

    /// Whether requests with these parts are refused.
    pub(crate) fn covers(&self, parts: &[lift_fleet::PromptPart]) -> bool {
        self.suspects.keys().all(|suspect| parts.contains(suspect))
    }

    /// Whether one of these parts may be at fault.
    pub(crate) fn suspects_any(&self, parts: &[lift_fleet::PromptPart]) -> bool {
        parts.iter().any(|part| self.suspects(part))
    }

    /// Whether this part may be at fault.
    pub(crate) fn suspects(&self, part: &str) -> bool {
        self.suspects.contains_key(part)
    }

    /// The suspected parts.
    pub(crate) fn parts(&self) -> Vec<lift_fleet::PromptPart> {
        self.suspects.keys().cloned().collect()
    }

    /// Whether no part is suspected any more.
    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records the end of a backend server that worked on a request with `parts`. It counts against
    /// the suspects among them.
    pub(crate) fn record_end(
        &mut self,
        backend: &str,
        at: time::Instant,
        parts: &[lift_fleet::PromptPart],
    ) {
        for (suspect, ends) in &mut self.suspects {
            if parts.contains(suspect) {
                ends.add(backend, at);
            }
        }
    }

    /// Removes the end of a backend server, which a request with all suspects explains.
    pub(crate) fn forget_end(&mut self, backend: &str) {
        for ends in self.suspects.values_mut() {
            ends.remove(backend);
        }
    }

    /// Clears a part because an answer with it was complete at `at`. Returns whether it was
    /// suspected.
    pub(crate) fn clear(&mut self, at: time::Instant, part: &str) -> bool {
        at >= self.first_end && self.suspects.shift_remove(part).is_some()
    }

    /// Drops the suspects that explain clearly fewer ends than another one. Returns whether there
    /// were any.
    pub(crate) fn narrow(&mut self) -> bool {
        let counts = self
            .suspects
            .values()
            .map(server_ends::ServerEnds::count_separate);
        let most = counts.max().unwrap_or_default();
        let before = self.suspects.len();
        self.suspects
            .retain(|_, ends| ends.count_separate() + MIN_ENDS_APART > most);
        self.suspects.len() < before
    }
}
