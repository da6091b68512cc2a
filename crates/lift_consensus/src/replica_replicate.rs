//! Replication of entries and snapshots to followers.

use std::time;

use crate::{action, message_body, progress, replica, role, snapshot_transfer};

/// Time after which an unacknowledged snapshot part is sent again, in heartbeat intervals.
const SNAPSHOT_RETRY_HEARTBEATS: u32 = 4;

impl replica::Replica {
    /// Sends each follower the entries or the snapshot part that it lacks, within its in-flight
    /// limits.
    pub(crate) fn replicate_all(&mut self, now: time::Instant) {
        let role::Role::Leader(leader) = &self.role else {
            return;
        };
        let to: Vec<_> = leader.progress.keys().copied().collect();
        for to in to {
            while self.replicate(now, to).is_some() {}
        }
        self.finish_leadership_transfer(now);
    }

    /// Sends one message with entries. Returns `None` if no more messages with entries can be
    /// sent now.
    fn replicate(&mut self, now: time::Instant, to: lift_types::MemberId) -> Option<()> {
        let limits = self.cfg.limits;
        let sent = self.elapsed_ns(now);
        let role::Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let progress = leader.progress.get_mut(&to)?;
        if let progress::ReplicationMode::Snapshot(_) = progress.mode {
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
        progress.record_sent(prev_index + entries.len() as u64, bytes);
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
        progress.record_contact(sent.min(now));
        progress.record_accepted(matched);
        match progress.mode {
            progress::ReplicationMode::Probe => progress.mode = progress::ReplicationMode::Stream,
            progress::ReplicationMode::Snapshot(ref transfer)
                if matched >= transfer.snapshot.index =>
            {
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
        progress.record_contact(sent.min(now));
        let outdated = prev_index <= progress.matched || prev_index >= progress.next;
        if outdated || matches!(progress.mode, progress::ReplicationMode::Snapshot(_)) {
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
            progress.mode =
                progress::ReplicationMode::Snapshot(snapshot_transfer::SnapshotTransfer {
                    snapshot,
                    received: 0,
                    sent_at: None,
                });
        }
    }

    /// Sends the next part of the snapshot, unless it was sent within the retry interval.
    /// Always returns `None`, because parts are sent one at a time.
    fn send_snapshot_part(&mut self, now: time::Instant, to: lift_types::MemberId) -> Option<()> {
        let sent = self.elapsed_ns(now);
        let retry = self.cfg.timing.heartbeat_interval * SNAPSHOT_RETRY_HEARTBEATS;
        let part_bytes = self.cfg.limits.snapshot_part_bytes;
        let role::Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let progress::ReplicationMode::Snapshot(transfer) = &mut leader.progress.get_mut(&to)?.mode
        else {
            return None;
        };
        let awaits_reply = |at| now.saturating_duration_since(at) < retry;
        if transfer.sent_at.is_some_and(awaits_reply) {
            return None;
        }
        transfer.sent_at = Some(now);
        let snapshot = transfer.snapshot.clone();
        let offset = (transfer.received as usize).min(snapshot.state.len());
        let end = (offset + part_bytes).min(snapshot.state.len());
        let body = message_body::MessageBody::SnapshotPart {
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
        progress.record_contact(sent.min(now));
        let progress::ReplicationMode::Snapshot(transfer) = &mut progress.mode else {
            return;
        };
        if index != transfer.snapshot.index || received == transfer.received {
            return;
        }
        transfer.received = received;
        // Send the next part immediately.
        transfer.sent_at = None;
    }

    /// Returns the index after which entries must be kept for the responsive followers that are
    /// receiving a snapshot, or `None` if there are none.
    pub(crate) fn needed_after_snapshot(&self, now: time::Instant) -> Option<lift_types::LogIndex> {
        let role::Role::Leader(leader) = &self.role else {
            return None;
        };
        let responsive = leader
            .progress
            .values()
            .filter(|p| self.is_responsive(now, p));
        responsive
            .filter_map(|progress| match &progress.mode {
                progress::ReplicationMode::Snapshot(transfer) => Some(transfer.snapshot.index),
                _ => None,
            })
            .min()
    }

    /// Requests a snapshot of the state machine if the log has grown enough.
    pub(crate) fn request_snapshot_if_due(&mut self) {
        let limits = self.cfg.limits;
        let held = self
            .snapshot
            .as_ref()
            .map(|held| (held.index, held.state.len()));
        let (covered, state_bytes) = held.unwrap_or_default();
        let has_grown = self.applied.saturating_sub(covered) >= limits.snapshot_after_entries
            || (self.log.bytes() >= limits.snapshot_after_bytes && self.applied > covered);
        let is_due =
            has_grown && self.log.bytes() >= state_bytes / 100 * limits.snapshot_after_percent;
        if !is_due || self.encoding_snapshot || self.saving_snapshot.is_some() {
            return;
        }
        self.encoding_snapshot = true;
        self.actions.push(action::Action::TakeSnapshot);
    }
}
