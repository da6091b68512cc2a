//! Writes that are not synced yet, and the messages that wait for them.

use std::{collections, mem, time};

use crate::{hard_state, message, write};

/// Tracks what is synced. A message that promises something is held back until the write
/// that it depends on is synced.
#[derive(Debug)]
pub(crate) struct WriteQueue {
    /// Write that the current step collects.
    pub(crate) open: write::Write,
    issued: u64,
    synced: u64,
    hard_state_in: u64,
    synced_index: lift_types::LogIndex,
    /// Number, last entry and time of each write that is not synced.
    pending: collections::VecDeque<(u64, lift_types::LogIndex, time::Instant)>,
    deferred: collections::VecDeque<(u64, message::Message)>,
}

impl WriteQueue {
    pub(crate) fn new(synced_index: lift_types::LogIndex) -> Self {
        Self {
            open: write::Write::default(),
            issued: 0,
            synced: 0,
            hard_state_in: 0,
            synced_index,
            pending: collections::VecDeque::new(),
            deferred: collections::VecDeque::new(),
        }
    }

    /// Last entry that is synced together with all entries before it.
    pub(crate) fn synced_index(&self) -> lift_types::LogIndex {
        self.synced_index
    }

    /// Notes a new term or vote.
    pub(crate) fn set_hard_state(&mut self, hard_state: hard_state::HardState) {
        self.open.hard_state = Some(hard_state);
        self.hard_state_in = self.issued + 1;
    }

    /// Whether term and vote are synced.
    pub(crate) fn hard_state_synced(&self) -> bool {
        self.hard_state_in <= self.synced
    }

    /// Notes that entries from `index` on are replaced.
    pub(crate) fn truncate_from(&mut self, index: lift_types::LogIndex) {
        self.synced_index = self.synced_index.min(index - 1);
        for (_, last, _) in &mut self.pending {
            *last = (*last).min(index - 1);
        }
        self.open.entries.retain(|entry| entry.index < index);
    }

    /// Holds `message` until all writes so far, with the open one, are synced.
    pub(crate) fn defer(&mut self, message: message::Message) {
        let after = self.issued + u64::from(!self.open.is_empty());
        self.deferred.push_back((after, message));
    }

    /// Closes the open write, after which `last_index` is the last entry.
    pub(crate) fn issue(
        &mut self,
        now: time::Instant,
        last_index: lift_types::LogIndex,
    ) -> Option<write::Write> {
        if self.open.is_empty() {
            return None;
        }
        self.issued += 1;
        self.pending.push_back((self.issued, last_index, now));
        let mut write = mem::take(&mut self.open);
        write.number = self.issued;
        Some(write)
    }

    /// Notes that the write `number` and all before it are synced.
    pub(crate) fn synced(&mut self, number: u64) {
        while let Some((first, last, _)) = self.pending.front().copied() {
            if first > number {
                return;
            }
            self.pending.pop_front();
            self.synced = first;
            self.synced_index = self.synced_index.max(last);
        }
    }

    /// When the oldest write that is not synced was issued.
    pub(crate) fn waiting_since(&self) -> Option<time::Instant> {
        self.pending.front().map(|(_, _, issued)| *issued)
    }

    /// Messages whose writes are synced.
    pub(crate) fn release(&mut self) -> Vec<message::Message> {
        let ready = |(after, _): &(u64, message::Message)| *after <= self.synced;
        let count = self.deferred.iter().take_while(|d| ready(d)).count();
        let released = self.deferred.drain(..count);
        released.map(|(_, message)| message).collect()
    }
}
