//! What a leader knows of one follower.

use std::{collections, time};

use crate::snapshot_transfer;

/// How entries are sent to a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Flow {
    /// One message at a time, until the last common entry is found.
    Probe,
    /// Messages follow one another without waiting for replies.
    Stream,
    /// The follower needs entries that the leader does not hold any more.
    Snapshot(snapshot_transfer::SnapshotTransfer),
}

/// Replication to one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last entry that the follower has synced and that equals the leader's.
    pub(crate) matched: lift_types::LogIndex,
    /// Next entry to send.
    pub(crate) next: lift_types::LogIndex,
    pub(crate) flow: Flow,
    /// Whether the probe message waits for its reply.
    pub(crate) probe_sent: bool,
    /// Last entry and size in bytes of each message without reply.
    in_flight: collections::VecDeque<(lift_types::LogIndex, usize)>,
    in_flight_bytes: usize,
    /// Sending time of the newest message that the follower has answered.
    pub(crate) answered: Option<time::Instant>,
}

impl Progress {
    pub(crate) fn new(next: lift_types::LogIndex) -> Self {
        Self {
            matched: 0,
            next,
            flow: Flow::Probe,
            probe_sent: false,
            in_flight: collections::VecDeque::new(),
            in_flight_bytes: 0,
            answered: None,
        }
    }

    pub(crate) fn in_flight_bytes(&self) -> usize {
        self.in_flight_bytes
    }

    pub(crate) fn in_flight_messages(&self) -> usize {
        self.in_flight.len()
    }

    /// Notes that entries up to `last` were sent.
    pub(crate) fn sent(&mut self, last: lift_types::LogIndex, bytes: usize) {
        if self.flow == Flow::Probe {
            self.probe_sent = true;
            return;
        }
        self.next = last + 1;
        self.in_flight.push_back((last, bytes));
        self.in_flight_bytes += bytes;
    }

    /// Notes that the follower is synced up to `matched`.
    pub(crate) fn accepted(&mut self, matched: lift_types::LogIndex) {
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

    /// Returns to one message at a time, from `next` on.
    pub(crate) fn probe_from(&mut self, next: lift_types::LogIndex) {
        self.next = next.max(self.matched + 1);
        self.flow = Flow::Probe;
        self.probe_sent = false;
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    /// Notes the sending time of a message that the follower has answered.
    pub(crate) fn heard(&mut self, sent: time::Instant) {
        self.answered = self.answered.max(Some(sent));
    }
}
