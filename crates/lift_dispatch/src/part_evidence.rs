//! Evidence against one part of prompts.

use std::{cmp, time};

/// Ends of backend servers closer together than this count once. A fault of the platform can
/// end many of them at the same moment, and gateways hear of one end at different times.
const MIN_SPACING: time::Duration = time::Duration::from_millis(100);

/// Largest number of ends that are kept.
const MAX_ENDS: usize = 256;

/// Ends of backend servers that worked on requests with one part, since that part was answered
/// last.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartEvidence {
    /// When each backend server was first seen to have ended.
    ends: indexmap::IndexMap<lift_fleet::BackendId, time::Instant>,
    /// Last position of the part in a prompt.
    pub(crate) position: usize,
}

impl PartEvidence {
    /// Adds the end of `backend`, which worked on a request with the part at `position`.
    pub(crate) fn add(&mut self, backend: &str, at: time::Instant, position: usize) {
        if self.ends.len() >= MAX_ENDS && !self.ends.contains_key(backend) {
            self.ends.shift_remove_index(0);
        }
        let first = self.ends.entry(String::from(backend)).or_insert(at);
        *first = at.min(*first);
        self.position = self.position.max(position);
    }

    /// Removes the end of a backend server.
    pub(crate) fn remove(&mut self, backend: &str) {
        self.ends.shift_remove(backend);
    }

    /// Keeps the ends at the times for which `keep` returns true.
    pub(crate) fn retain(&mut self, keep: impl Fn(time::Instant) -> bool) {
        self.ends.retain(|_, at| keep(*at));
    }

    /// Number of ends that count, since they came one after the other.
    pub(crate) fn separate_ends(&self) -> usize {
        self.separate_ends_since(None)
    }

    /// Like [`Self::separate_ends`], without the ends before `start`.
    pub(crate) fn separate_ends_since(&self, start: Option<time::Instant>) -> usize {
        let times = self.ends.values().copied();
        let mut times: Vec<_> = times.filter(|at| Some(*at) >= start).collect();
        times.sort_unstable();
        let mut last = None;
        let is_separate = |at: &time::Instant| {
            let is_separate = last.is_none_or(|last| *at >= last + MIN_SPACING);
            if is_separate {
                last = Some(*at);
            }
            is_separate
        };
        times.into_iter().filter(is_separate).count()
    }

    /// When the first of these backend servers ended.
    pub(crate) fn first_end(&self) -> Option<time::Instant> {
        self.ends.values().min().copied()
    }

    /// When the last of these backend servers ended.
    pub(crate) fn last_end(&self) -> Option<time::Instant> {
        self.ends.values().max().copied()
    }

    /// Orders two parts by how well each explains the ends; the greater one does so better. A part
    /// that was never answered comes before one that was, then the part with more ends, then the
    /// one that was answered longer ago, then the one that is later in the prompt.
    pub(crate) fn cmp_with(
        &self,
        answered: Option<time::Instant>,
        other: &Self,
        other_answered: Option<time::Instant>,
    ) -> cmp::Ordering {
        let never = answered.is_none().cmp(&other_answered.is_none());
        never
            .then_with(|| self.separate_ends().cmp(&other.separate_ends()))
            .then_with(|| other_answered.cmp(&answered))
            .then_with(|| self.position.cmp(&other.position))
    }
}
