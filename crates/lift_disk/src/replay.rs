//! Reconstruction of the log from its records.

use crate::record;

/// Index and term of an entry.
pub(crate) type EntryId = (lift_types::LogIndex, lift_types::Term);

/// State of the log after the records applied so far.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    hard_state: lift_consensus::HardState,
    entries: Vec<lift_consensus::Entry>,
}

impl Replay {
    pub(crate) fn hard_state(&self) -> lift_consensus::HardState {
        self.hard_state
    }

    /// Applies the next record. Returns an error if entries are missing before it.
    pub(crate) fn apply(&mut self, record: record::Record) -> Result<(), &'static str> {
        self.hard_state = record.hard_state.unwrap_or(self.hard_state);
        if let Some((index, term)) = record.reset {
            self.reset_to(index, term);
        }
        for entry in record.entries {
            self.append(entry)?;
        }
        Ok(())
    }

    /// Discards the entries that a snapshot replaces: those up to `index`, or all if the log has
    /// no entry with this index and term.
    fn reset_to(&mut self, index: lift_types::LogIndex, term: lift_types::Term) {
        let matches_snapshot = |e: &lift_consensus::Entry| e.index == index && e.term == term;
        if !self.entries.iter().any(matches_snapshot) {
            self.entries.clear();
        }
        self.entries.retain(|entry| entry.index > index);
    }

    /// Appends an entry. It replaces any entry with the same index and all later ones.
    fn append(&mut self, entry: lift_consensus::Entry) -> Result<(), &'static str> {
        let Some(last) = self.entries.last() else {
            self.entries.push(entry);
            return Ok(());
        };
        if entry.index > last.index + 1 {
            return Err("entries before this record are missing");
        }
        let first = self.entries[0].index;
        let kept = entry.index.saturating_sub(first) as usize;
        self.entries.truncate(kept);
        self.entries.push(entry);
        Ok(())
    }

    /// Combines the entries with the newest snapshot. If the entries end before the snapshot or
    /// conflict with it, discards them and returns the index and term of the snapshot, for a
    /// reset record. This happens if the host fails after it saved a snapshot of the leader and
    /// before it recorded that in the log.
    pub(crate) fn finish(
        mut self,
        snapshot: Option<lift_consensus::Snapshot>,
    ) -> Result<(lift_consensus::RecoveredState, Option<EntryId>), &'static str> {
        let mut reset = None;
        if let Some(snapshot) = &snapshot {
            let (index, term) = (snapshot.index, snapshot.term);
            let differs = |e: &lift_consensus::Entry| e.index == index && e.term != term;
            let is_behind = self.entries.last().is_some_and(|last| last.index < index);
            if is_behind || self.entries.iter().any(differs) {
                self.entries.clear();
                reset = Some((index, term));
            }
        }
        let covered = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let first = self.entries.first().map_or(0, |first| first.index);
        if first > covered + 1 {
            return Err("entries between the snapshot and the log are missing");
        }
        let recovered = lift_consensus::RecoveredState {
            hard_state: self.hard_state,
            snapshot,
            entries: self.entries,
        };
        Ok((recovered, reset))
    }
}
