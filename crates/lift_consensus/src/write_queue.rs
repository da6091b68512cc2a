//! Queue of unsynced writes and of the messages that depend on them.

use std::{collections, mem, time};

use crate::{hard_state, message, write};

/// Tracks which writes are synced. A message that depends on a write, such as a granted vote,
/// is deferred until that write and all earlier ones are synced.
#[derive(Debug)]
pub(crate) struct WriteQueue {
    /// Write that accumulates the changes of the current step.
    pub(crate) open: write::Write,
    /// Number of the last write that was issued.
    issued: u64,
    /// Number of the last write that is synced.
    synced: u64,
    /// Number of the last write that contains a hard state.
    hard_state_write: u64,
    synced_index: lift_types::LogIndex,
    /// Number, index of the last entry and time of issue of each unsynced write.
    pending: collections::VecDeque<(u64, lift_types::LogIndex, time::Instant)>,
    /// Messages, each with the number of the write that must be synced before it is sent.
    deferred: collections::VecDeque<(u64, message::Message)>,
}

impl WriteQueue {
    pub(crate) fn new(synced_index: lift_types::LogIndex) -> Self {
        Self {
            open: write::Write::default(),
            issued: 0,
            synced: 0,
            hard_state_write: 0,
            synced_index,
            pending: collections::VecDeque::new(),
            deferred: collections::VecDeque::new(),
        }
    }

    /// Returns the index up to which all entries are synced.
    pub(crate) fn synced_index(&self) -> lift_types::LogIndex {
        self.synced_index
    }

    /// Adds a new term or vote to the open write.
    pub(crate) fn set_hard_state(&mut self, hard_state: hard_state::HardState) {
        self.open.hard_state = Some(hard_state);
        self.hard_state_write = self.issued + 1;
    }

    /// Returns whether the current term and vote are synced.
    pub(crate) fn is_hard_state_synced(&self) -> bool {
        self.hard_state_write <= self.synced
    }

    /// Marks the entries from `index` on as replaced, so they no longer count as synced.
    pub(crate) fn truncate_from(&mut self, index: lift_types::LogIndex) {
        self.synced_index = self.synced_index.min(index - 1);
        for (_, last, _) in &mut self.pending {
            *last = (*last).min(index - 1);
        }
        self.open.entries.retain(|entry| entry.index < index);
    }

    /// Holds `message` back until all writes so far, including the open one, are synced.
    pub(crate) fn defer(&mut self, message: message::Message) {
        let after = self.issued + u64::from(!self.open.is_empty());
        self.deferred.push_back((after, message));
    }

    /// Issues the open write, unless it is empty. `last_index` is the index of the log's last
    /// entry after this write.
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

    /// Records that the write `number` and all earlier ones are synced.
    pub(crate) fn record_synced(&mut self, number: u64) {
        while let Some((first, last, _)) = self.pending.front().copied() {
            if first > number {
                return;
            }
            self.pending.pop_front();
            self.synced = first;
            self.synced_index = self.synced_index.max(last);
        }
    }

    /// Returns the time at which the oldest unsynced write was issued.
    pub(crate) fn oldest_pending_since(&self) -> Option<time::Instant> {
        self.pending.front().map(|(_, _, issued)| *issued)
    }

    /// Removes and returns the messages whose writes are synced.
    pub(crate) fn release(&mut self) -> Vec<message::Message> {
        let ready = |(after, _): &(u64, message::Message)| *after <= self.synced;
        let count = self.deferred.iter().take_while(|d| ready(d)).count();
        let released = self.deferred.drain(..count);
        released.map(|(_, message)| message).collect()
    }
}
