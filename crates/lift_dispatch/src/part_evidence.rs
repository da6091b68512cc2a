//! Evidence against one part of prompts.

use std::{cmp, time};

use crate::server_ends;

/// Ends of backend servers that worked on requests with one part, since that part was answered
/// last.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartEvidence {
    pub(crate) ends: server_ends::ServerEnds,
}

impl PartEvidence {
    /// Adds the end of `backend`, which worked on a request with the part.
    pub(crate) fn add(&mut self, backend: &str, at: time::Instant) {
        self.ends.add(backend, at);
    }

    /// Whether at most one of two suspects may be at fault. Two requests that were never at the same
    /// backend server may both be.
    pub(crate) fn excludes(&self, suspect: &str, other: &Self, other_suspect: &str) -> bool {
        let is_request = lift_fleet::RequestDigest::is_digest;
        let is_part = !is_request(suspect) || !is_request(other_suspect);
        is_part || self.ends.shares_any(&other.ends)
    }

    /// Orders two parts by how well each explains the ends; the greater one does so better. A part
    /// that was never answered comes before one that was, then the part with more ends, then the
    /// one that was answered longer ago. The position in the prompt tells nothing.
    pub(crate) fn cmp_with(
        &self,
        answered: Option<time::Instant>,
        other: &Self,
        other_answered: Option<time::Instant>,
    ) -> cmp::Ordering {
        let (count, other_count) = (self.ends.count_separate(), other.ends.count_separate());
        let never = answered.is_none().cmp(&other_answered.is_none());
        never
            .then_with(|| count.cmp(&other_count))
            .then_with(|| other_answered.cmp(&answered))
    }
}
