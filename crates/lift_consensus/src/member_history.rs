//! Member sets by log index.

use std::collections;

use crate::{entry, member_set, payload};

/// Member sets, ordered by the index from which each is in effect.
#[derive(Debug)]
pub(crate) struct MemberHistory {
    sets: collections::VecDeque<(lift_types::LogIndex, member_set::MemberSet)>,
    empty: member_set::MemberSet,
}

impl MemberHistory {
    pub(crate) fn new(index: lift_types::LogIndex, members: member_set::MemberSet) -> Self {
        Self {
            sets: collections::VecDeque::from([(index, members)]),
            empty: member_set::MemberSet::new(),
        }
    }

    /// Returns the member set in effect.
    pub(crate) fn current(&self) -> &member_set::MemberSet {
        self.sets.back().map_or(&self.empty, |(_, set)| set)
    }

    /// Returns the index from which the current set is in effect.
    pub(crate) fn current_index(&self) -> lift_types::LogIndex {
        self.sets.back().map_or(0, |(index, _)| *index)
    }

    /// Returns the member set in effect at `index`.
    pub(crate) fn at(&self, index: lift_types::LogIndex) -> &member_set::MemberSet {
        let found = self.sets.iter().rev().find(|(from, _)| *from <= index);
        found.map_or(&self.empty, |(_, set)| set)
    }

    /// Records the member set of an appended entry, if it has one.
    pub(crate) fn push(&mut self, entry: &entry::Entry) {
        if let payload::Payload::Members(members) = &entry.payload {
            self.sets.push_back((entry.index, members.clone()));
        }
    }

    /// Discards the sets from `index` on, because their entries were replaced.
    pub(crate) fn truncate_from(&mut self, index: lift_types::LogIndex) {
        while self.sets.len() > 1 && self.current_index() >= index {
            self.sets.pop_back();
        }
    }

    /// Discards the sets that a newer set replaced at or before `index`.
    pub(crate) fn compact_to(&mut self, index: lift_types::LogIndex) {
        while self.sets.get(1).is_some_and(|(from, _)| *from <= index) {
            self.sets.pop_front();
        }
    }
}
