//! How a leader sends entries and snapshots to followers.

use std::time;

use crate::{action, message_body, progress, replica, role, snapshot_transfer};

/// Time after which a part of a snapshot is sent again, in heartbeats.
const SNAPSHOT_RETRY_HEARTBEATS: u32 = 4;

impl replica::Replica {
    /// Sends to each follower what it lacks, as far as its window allows.
    pub(crate) fn replicate_all(&mut self, now: time::Instant) {
        let role::Role::Leader(leader) = &self.role else {
            return;
        };
        let to: Vec<_> = leader.progress.keys().copied().collect();
        for to in to {
            while self.replicate(now, to).is_some() {}
        }
        self.finish_transfer(now);
    }

    /// Sends one message with entries, or returns `None` where there is none to send.
    fn replicate(&mut self, now: time::Instant, to: lift_types::MemberId) -> Option<()> {
        let limits = self.cfg.limits;
        let sent = self.stamp(now);
        let role::Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let progress = leader.progress.get_mut(&to)?;
        if let progress::Flow::Snapshot(_) = progress.flow {
            return self.send_snapshot_part(now, to);
        }
        if progress.probe_sent
            || progress.in_flight_bytes() >= limits.in_flight_bytes
            || progress.in_flight_messages() >= limits.in_flight_messages
            || progress.next > self.log.last_index()
        {
            return None;
        }
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.start_sending_snapshot(to);
            return self.send_snapshot_part(now, to);
        };
        let last = self.log.last_index();
        let entries = self.log.slice(progress.next, last, limits.append_bytes);
        let bytes = entries.iter().map(|entry| entry.size()).sum();
        progress.sent(prev_index + entries.len() as u64, bytes);
        let commit = self.commit;
        let body = message_body::MessageBody::Append {
            prev_index,
            prev_term,
            entries,
            commit,
            sent,
        };
        self.send(to, body);
        Some(())
    }

    pub(crate) fn on_accepted(
        &mut self,
        now: time::Instant,
        from: lift_types::MemberId,
        matched: lift_types::LogIndex,
        sent: u64,
    ) {
        let sent = self.epoch + time::Duration::from_nanos(sent);
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.heard(sent.min(now));
        progress.accepted(matched);
        match progress.flow {
            progress::Flow::Probe => progress.flow = progress::Flow::Stream,
            progress::Flow::Snapshot(ref transfer) if matched >= transfer.snapshot.index => {
                progress.probe_from(matched + 1);
            }
            _ => {}
        }
    }

    pub(crate) fn on_rejected(
        &mut self,
        now: time::Instant,
        from: lift_types::MemberId,
        (prev_index, hint): (lift_types::LogIndex, lift_types::LogIndex),
        sent: u64,
    ) {
        let sent = self.epoch + time::Duration::from_nanos(sent);
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.heard(sent.min(now));
        let outdated = prev_index <= progress.matched || prev_index >= progress.next;
        if outdated || matches!(progress.flow, progress::Flow::Snapshot(_)) {
            return;
        }
        progress.probe_from(hint.min(prev_index - 1) + 1);
    }

    pub(crate) fn start_sending_snapshot(&mut self, to: lift_types::MemberId) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(progress) = leader.progress.get_mut(&to) {
            progress.flow = progress::Flow::Snapshot(snapshot_transfer::SnapshotTransfer {
                snapshot,
                received: 0,
                sent_at: None,
            });
        }
    }

    /// Sends the part that the follower lacks, unless it was sent a short time ago.
    fn send_snapshot_part(&mut self, now: time::Instant, to: lift_types::MemberId) -> Option<()> {
        let sent = self.stamp(now);
        let retry = self.cfg.timing.heartbeat * SNAPSHOT_RETRY_HEARTBEATS;
        let part_bytes = self.cfg.limits.snapshot_part_bytes;
        let role::Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let progress::Flow::Snapshot(transfer) = &mut leader.progress.get_mut(&to)?.flow else {
            return None;
        };
        let waits = |at| now.saturating_duration_since(at) < retry;
        if transfer.sent_at.is_some_and(waits) {
            return None;
        }
        transfer.sent_at = Some(now);
        let snapshot = transfer.snapshot.clone();
        let offset = (transfer.received as usize).min(snapshot.state.len());
        let end = (offset + part_bytes).min(snapshot.state.len());
        let body = message_body::MessageBody::SnapshotChunk {
            index: snapshot.index,
            last_term: snapshot.term,
            members: snapshot.members,
            offset: offset as u64,
            total: snapshot.state.len() as u64,
            part: snapshot.state.slice(offset..end),
            sent,
        };
        self.send(to, body);
        None
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        now: time::Instant,
        from: lift_types::MemberId,
        (index, received): (lift_types::LogIndex, u64),
        sent: u64,
    ) {
        let sent = self.epoch + time::Duration::from_nanos(sent);
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.heard(sent.min(now));
        let progress::Flow::Snapshot(transfer) = &mut progress.flow else {
            return;
        };
        if index != transfer.snapshot.index || received == transfer.received {
            return;
        }
        transfer.received = received;
        // The next part goes out at once.
        transfer.sent_at = None;
    }

    /// Oldest entry that a follower will need after the snapshot that it is receiving.
    pub(crate) fn needed_after_transfer(&self, now: time::Instant) -> Option<lift_types::LogIndex> {
        let role::Role::Leader(leader) = &self.role else {
            return None;
        };
        let live = leader
            .progress
            .values()
            .filter(|p| self.is_answering(now, p));
        live.filter_map(|progress| match &progress.flow {
            progress::Flow::Snapshot(transfer) => Some(transfer.snapshot.index),
            _ => None,
        })
        .min()
    }

    /// Asks the state machine for a snapshot where the log has grown enough.
    pub(crate) fn start_snapshot(&mut self) {
        let limits = self.cfg.limits;
        let covered = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let due = self.applied.saturating_sub(covered) >= limits.snapshot_after_entries
            || (self.log.bytes() >= limits.snapshot_after_bytes && self.applied > covered);
        if !due || self.encoding || self.saving.is_some() {
            return;
        }
        self.encoding = true;
        self.actions.push(action::Action::TakeSnapshot);
    }
}
