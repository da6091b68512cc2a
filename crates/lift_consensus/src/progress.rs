//! Replication progress of a follower, as tracked by the leader.

use std::{collections, time};

use crate::snapshot_transfer;

/// How the leader sends entries to a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReplicationMode {
    /// Sends one message at a time until the last common entry is found.
    Probe,
    /// Pipelines messages without waiting for replies.
    Stream,
    /// Sends a snapshot, because the follower needs entries that the leader has compacted
    /// away.
    Snapshot(snapshot_transfer::SnapshotTransfer),
}

/// Replication progress of one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Index of the last entry that the follower has synced and that matches the leader's log.
    pub(crate) matched: lift_types::LogIndex,
    /// Index of the next entry to send.
    pub(crate) next: lift_types::LogIndex,
    pub(crate) mode: ReplicationMode,
    /// Whether a probe message awaits its reply.
    pub(crate) probe_sent: bool,
    /// Index of the last entry and size in bytes of each unacknowledged message.
    in_flight: collections::VecDeque<(lift_types::LogIndex, usize)>,
    in_flight_bytes: usize,
    /// Sending time of the newest message to which the follower has replied.
    pub(crate) last_contact: Option<time::Instant>,
}

impl Progress {
    pub(crate) fn new(next: lift_types::LogIndex) -> Self {
        Self {
            matched: 0,
            next,
            mode: ReplicationMode::Probe,
            probe_sent: false,
            in_flight: collections::VecDeque::new(),
            in_flight_bytes: 0,
            last_contact: None,
        }
    }

    pub(crate) fn in_flight_bytes(&self) -> usize {
        self.in_flight_bytes
    }

    pub(crate) fn in_flight_messages(&self) -> usize {
        self.in_flight.len()
    }

    /// Records that a message with `bytes` of entries up to `last` was sent.
    pub(crate) fn record_sent(&mut self, last: lift_types::LogIndex, bytes: usize) {
        if self.mode == ReplicationMode::Probe {
            self.probe_sent = true;
            return;
        }
        self.next = last + 1;
        self.in_flight.push_back((last, bytes));
        self.in_flight_bytes += bytes;
    }

    /// Records that the follower's log matches and is synced up to `matched`.
    pub(crate) fn record_accepted(&mut self, matched: lift_types::LogIndex) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        self.probe_sent = false;
        while let Some((last, bytes)) = self.in_flight.front().copied() {
            if last > self.matched {
                break;
            }
            self.in_flight.pop_front();
            self.in_flight_bytes -= bytes;
        }
    }

    /// Switches back to probing, starting at `next`.
    pub(crate) fn probe_from(&mut self, next: lift_types::LogIndex) {
        self.next = next.max(self.matched + 1);
        self.mode = ReplicationMode::Probe;
        self.probe_sent = false;
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    /// Records a reply to a message that was sent at `sent`.
    pub(crate) fn record_contact(&mut self, sent: time::Instant) {
        self.last_contact = self.last_contact.max(Some(sent));
    }
}
