//! The in-memory part of the log.

use std::collections;

use crate::entry;

/// Consecutive entries after the base, which is the last entry that was compacted away, or
/// index 0 if there is none.
#[derive(Debug)]
pub(crate) struct EntryLog {
    base_index: lift_types::LogIndex,
    base_term: lift_types::Term,
    entries: collections::VecDeque<entry::Entry>,
    bytes: usize,
}

impl EntryLog {
    pub(crate) fn new(base_index: lift_types::LogIndex, base_term: lift_types::Term) -> Self {
        Self {
            base_index,
            base_term,
            entries: collections::VecDeque::new(),
            bytes: 0,
        }
    }

    /// Returns the index of the last entry that was compacted away, or 0 if there is none.
    pub(crate) fn base_index(&self) -> lift_types::LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> lift_types::LogIndex {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> lift_types::Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Returns the size of the held entries, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the term of the entry at `index`, or `None` if neither the base nor a held
    /// entry has this index.
    pub(crate) fn term_at(&self, index: lift_types::LogIndex) -> Option<lift_types::Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: lift_types::LogIndex) -> Option<&entry::Entry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(position as usize)
    }

    /// Appends an entry, whose index must follow that of the last one.
    pub(crate) fn push(&mut self, entry: entry::Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all later ones.
    pub(crate) fn truncate_from(&mut self, index: lift_types::LogIndex) {
        while self.last_index() >= index && !self.entries.is_empty() {
            if let Some(entry) = self.entries.pop_back() {
                self.bytes -= entry.size();
            }
        }
    }

    /// Discards the entries up to and including `index`.
    pub(crate) fn compact_to(&mut self, index: lift_types::LogIndex) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= entry.size();
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Returns the held entries from `from` to `to`, limited to `max_bytes`. The first entry
    /// is returned even if it is larger.
    pub(crate) fn slice(
        &self,
        from: lift_types::LogIndex,
        to: lift_types::LogIndex,
        max_bytes: usize,
    ) -> Vec<entry::Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for index in from..=to {
            let Some(entry) = self.get(index) else { break };
            bytes += entry.size();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Returns the first index after `floor` from which all entries up to `index` have the
    /// same term.
    pub(crate) fn first_index_of_term(
        &self,
        index: lift_types::LogIndex,
        floor: lift_types::LogIndex,
    ) -> lift_types::LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first > floor + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }
}
