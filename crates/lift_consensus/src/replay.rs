//! Replay of the log after a start.

use crate::entry;

/// Tells entries that may be as old as the log from those that were appended while this member took
/// part. The state machine needs that where the age of a command matters.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Replay {
    /// Term and commit index with which this member first heard from a leader, or became one.
    first_contact: Option<(lift_types::Term, lift_types::LogIndex)>,
    is_over: bool,
}

impl Replay {
    /// Records the term and commit index of a leader. Only the first call counts.
    pub(crate) fn record_contact(&mut self, term: lift_types::Term, commit: lift_types::LogIndex) {
        self.first_contact.get_or_insert((term, commit));
    }

    /// Removes the entries from `entries` that are new, and returns them. The first call that finds
    /// any ends the replay; all later entries are new.
    pub(crate) fn split_off_new(&mut self, entries: &mut Vec<entry::Entry>) -> Vec<entry::Entry> {
        let replayed = match self.is_over {
            true => 0,
            false => entries.iter().take_while(|e| self.is_replayed(e)).count(),
        };
        let new = entries.split_off(replayed);
        self.is_over |= !new.is_empty();
        new
    }

    /// Whether new entries were found.
    pub(crate) fn is_over(&self) -> bool {
        self.is_over
    }

    /// Whether an entry was in the log of the leader before the first contact. After a restart of
    /// all members the new leader may commit entries of earlier terms, which are old.
    fn is_replayed(&self, entry: &entry::Entry) -> bool {
        self.first_contact
            .is_none_or(|(term, commit)| entry.term < term || entry.index <= commit)
    }
}
