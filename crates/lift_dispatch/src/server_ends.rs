//! Backend servers that have ended.

use std::time;

/// Ends closer together than this count once. A fault of the platform can end many backend servers
/// at the same moment, and gateways hear of one end at different times.
const MIN_SPACING: time::Duration = time::Duration::from_millis(100);

/// Largest number of ends that are kept.
const MAX_ENDS: usize = 256;

/// When backend servers have ended, once for each of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerEnds {
    ends: indexmap::IndexMap<lift_fleet::BackendId, time::Instant>,
}

impl ServerEnds {
    /// Adds the end of `backend`. The first time at which any gateway saw it counts.
    pub(crate) fn add(&mut self, backend: &str, at: time::Instant) {
        if let Some(first) = self.ends.get_mut(backend) {
            *first = at.min(*first);
            return;
        }
        if self.ends.len() >= MAX_ENDS {
            self.ends.shift_remove_index(0);
        }
        self.ends.insert(String::from(backend), at);
    }

    /// Removes the end of a backend server.
    pub(crate) fn remove(&mut self, backend: &str) {
        self.ends.shift_remove(backend);
    }

    /// Keeps the ends at the times for which `keep` returns true.
    pub(crate) fn retain(&mut self, keep: impl Fn(time::Instant) -> bool) {
        self.ends.retain(|_, at| keep(*at));
    }

    /// When `backend` has ended, if it has.
    pub(crate) fn get(&self, backend: &str) -> Option<time::Instant> {
        self.ends.get(backend).copied()
    }

    /// Whether a backend server has ended that is in `other` too.
    pub(crate) fn shares_any(&self, other: &Self) -> bool {
        self.ends.keys().any(|backend| other.get(backend).is_some())
    }

    /// When the first of the backend servers ended.
    pub(crate) fn first(&self) -> Option<time::Instant> {
        self.ends.values().min().copied()
    }

    /// When the last of the backend servers ended.
    pub(crate) fn last(&self) -> Option<time::Instant> {
        self.ends.values().max().copied()
    }

    /// Number of ends that came one after the other.
    pub(crate) fn count_separate(&self) -> usize {
        self.count_separate_since(None)
    }

    /// Like [`Self::count_separate`], without the ends before `start`.
    pub(crate) fn count_separate_since(&self, start: Option<time::Instant>) -> usize {
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
}
