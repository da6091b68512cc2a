//! What happened in a play.

use std::time;

/// Counts of one play.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    /// When backend servers ended on deadly requests.
    pub(crate) crashes: Vec<time::Instant>,
    /// When deadly requests arrived at backend servers.
    pub(crate) deadly_arrivals: Vec<time::Instant>,
    /// Sound requests that arrived at a backend server at the first attempt.
    pub(crate) sound_arrivals: usize,
    /// Sound requests that a gateway refused.
    pub(crate) sound_refused: usize,
    /// Sound requests that a gateway did not repeat.
    pub(crate) sound_given_up: usize,
}

impl Counts {
    /// Arrivals of deadly requests later than the contact time after the fifth crash.
    pub(crate) fn late_arrivals(&self, contact: time::Duration) -> usize {
        self.arrivals_after(5, contact)
    }

    /// Arrivals of deadly requests later than the contact time after the given number of crashes.
    pub(crate) fn arrivals_after(&self, crashes: usize, contact: time::Duration) -> usize {
        let last = self.crashes.get(crashes - 1).copied();
        let is_late = |at: &&time::Instant| last.is_some_and(|last| **at > last + contact);
        self.deadly_arrivals.iter().filter(is_late).count()
    }
}
