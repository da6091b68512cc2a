//! Joins the records of the log.

use crate::record;

/// Index and term of an entry.
pub(crate) type Position = (lift_types::LogIndex, lift_types::Term);

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
        if let Some((index, term)) = record.reset {
            self.follow(index, term);
        }
        for entry in record.entries {
            self.push(entry)?;
        }
        Ok(())
    }

    /// Lets the log follow a snapshot.
    fn follow(&mut self, index: lift_types::LogIndex, term: lift_types::Term) {
        let same = |e: &lift_consensus::Entry| e.index == index && e.term == term;
        if !self.entries.iter().any(same) {
            self.entries.clear();
        }
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

    /// Joins the entries with the newest snapshot. The second part is the position and term
    /// of the snapshot where entries that don't follow it were dropped: the host failed after
    /// it saved a snapshot of the leader and before it noted that in the log.
    pub(crate) fn finish(
        mut self,
        snapshot: Option<lift_consensus::Snapshot>,
    ) -> Result<(lift_consensus::RecoveredState, Option<Position>), &'static str> {
        let mut dropped = None;
        if let Some(snapshot) = &snapshot {
            let (index, term) = (snapshot.index, snapshot.term);
            let differs = |e: &lift_consensus::Entry| e.index == index && e.term != term;
            let ends_before = self.entries.last().is_some_and(|last| last.index < index);
            if ends_before || self.entries.iter().any(differs) {
                self.entries.clear();
                dropped = Some((index, term));
            }
        }
        let covered = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let first = self.entries.first().map_or(0, |first| first.index);
        if first > covered + 1 {
            return Err("entries between the snapshot and the log are missing");
        }
        let restored = lift_consensus::RecoveredState {
            hard_state: self.hard_state,
            snapshot,
            entries: self.entries,
        };
        Ok((restored, dropped))
    }
}
