//! Incarnations of the agent on one host.

use std::collections;

/// Number of starts that are kept for each host. A duplicate of an earlier registration that
/// arrives after a later start must not replace the later one.
const MAX_RETAINED_STARTS: usize = 4;

/// The latest starts of the agent on one host.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) struct RegisteredHost {
    /// Start ids with their incarnations, oldest first.
    starts: collections::VecDeque<(u64, lift_types::Incarnation)>,
}

impl RegisteredHost {
    /// Returns the incarnation that was assigned to a start, if the start is still kept.
    pub(crate) fn find(&self, start_id: u64) -> Option<lift_types::Incarnation> {
        let found = self.starts.iter().find(|(id, _)| *id == start_id);
        found.map(|(_, incarnation)| *incarnation)
    }

    /// Returns the incarnation of the latest start.
    pub(crate) fn current(&self) -> Option<lift_types::Incarnation> {
        self.starts.back().map(|(_, incarnation)| *incarnation)
    }

    /// Adds the latest start, and drops the oldest one above [`MAX_RETAINED_STARTS`].
    pub(crate) fn add(&mut self, start_id: u64, incarnation: lift_types::Incarnation) {
        if self.starts.len() >= MAX_RETAINED_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back((start_id, incarnation));
    }
}
