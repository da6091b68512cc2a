//! What happened in a play.

use std::time;

/// Counts of one play.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    /// When backend servers ended on the deadly part.
    pub(crate) crashes: Vec<time::Instant>,
    /// When requests with the deadly part arrived at backend servers.
    pub(crate) deadly_arrivals: Vec<time::Instant>,
    /// Sound requests that arrived at a backend server at the first attempt.
    pub(crate) sound_arrivals: usize,
    /// Sound requests that a gateway refused.
    pub(crate) sound_refused: usize,
    /// Sound requests that a gateway did not repeat.
    pub(crate) sound_given_up: usize,
}

impl Counts {
    /// Arrivals with the deadly part later than the contact time after the fifth crash.
    pub(crate) fn late_arrivals(&self, contact: time::Duration) -> usize {
        let fifth = self.crashes.get(4).copied();
        let is_late = |at: &&time::Instant| fifth.is_some_and(|fifth| **at > fifth + contact);
        self.deadly_arrivals.iter().filter(is_late).count()
    }
}
