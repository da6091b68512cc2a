//! Incarnations of one host.

use std::collections;

/// Starts of a host that are remembered. A registration that arrives again after a later
/// start must not replace that one.
const REMEMBERED_STARTS: usize = 4;

/// The last starts of one host, oldest first.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) struct RegisteredHost {
    starts: collections::VecDeque<(u64, lift_types::Incarnation)>,
}

impl RegisteredHost {
    /// Incarnation of a start that is remembered.
    pub(crate) fn find(&self, start: u64) -> Option<lift_types::Incarnation> {
        let found = self.starts.iter().find(|(known, _)| *known == start);
        found.map(|(_, incarnation)| *incarnation)
    }

    /// The current incarnation.
    pub(crate) fn current(&self) -> Option<lift_types::Incarnation> {
        self.starts.back().map(|(_, incarnation)| *incarnation)
    }

    /// Adds a start.
    pub(crate) fn add(&mut self, start: u64, incarnation: lift_types::Incarnation) {
        if self.starts.len() >= REMEMBERED_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back((start, incarnation));
    }
}
