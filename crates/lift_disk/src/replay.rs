//! Joins the records of the log.

use crate::record;

/// State after the records so far.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    hard_state: lift_consensus::HardState,
    entries: Vec<lift_consensus::Entry>,
}

impl Replay {
    pub(crate) fn hard_state(&self) -> lift_consensus::HardState {
        self.hard_state
    }

    /// Takes in the next record.
    pub(crate) fn take(&mut self, record: record::Record) -> Result<(), &'static str> {
        self.hard_state = record.hard_state.unwrap_or(self.hard_state);
        if let Some(index) = record.reset {
            self.reset(index);
        }
        for entry in record.entries {
            self.push(entry)?;
        }
        Ok(())
    }

    /// Voids entries up to `index`, and all others where they don't follow it.
    fn reset(&mut self, index: lift_types::LogIndex) {
        self.entries.retain(|entry| entry.index > index);
    }

    /// An entry replaces the entries of its position and all later ones.
    fn push(&mut self, entry: lift_consensus::Entry) -> Result<(), &'static str> {
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

    /// Joins the entries with the newest snapshot.
    pub(crate) fn finish(
        mut self,
        snapshot: Option<lift_consensus::Snapshot>,
    ) -> Result<lift_consensus::Restored, &'static str> {
        let covered = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let term = snapshot.as_ref().map_or(0, |snapshot| snapshot.term);
        let differs = |e: &lift_consensus::Entry| e.index == covered && e.term != term;
        let ends_before = self.entries.last().is_some_and(|last| last.index < covered);
        if ends_before || self.entries.iter().any(differs) {
            self.entries.clear();
        }
        if self
            .entries
            .first()
            .is_some_and(|first| first.index > covered + 1)
        {
            return Err("entries between the snapshot and the log are missing");
        }
        Ok(lift_consensus::Restored {
            hard_state: self.hard_state,
            snapshot,
            entries: self.entries,
        })
    }
}
