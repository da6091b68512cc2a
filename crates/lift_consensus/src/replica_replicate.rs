//! How a leader sends entries and snapshots to followers.

use std::time;

use crate::{action, message_body, progress, replica, role};

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
        if let progress::Flow::Snapshot { .. } = progress.flow {
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
            self.start_sending_snapshot(now, to);
            return Some(());
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
            progress::Flow::Snapshot { index, .. } if matched >= index => {
                progress.probe_from(matched + 1);
            }
            _ => {}
        }
    }

    pub(crate) fn on_rejected(
        &mut self,
        from: lift_types::MemberId,
        prev_index: lift_types::LogIndex,
        hint: lift_types::LogIndex,
        sent: u64,
    ) {
        let sent = self.epoch + time::Duration::from_nanos(sent);
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.heard(sent);
        let outdated = prev_index <= progress.matched || prev_index >= progress.next;
        if outdated || matches!(progress.flow, progress::Flow::Snapshot { .. }) {
            return;
        }
        progress.probe_from(hint.min(prev_index - 1) + 1);
    }

    fn start_sending_snapshot(&mut self, now: time::Instant, to: lift_types::MemberId) {
        let index = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let retry = self.cfg.timing.heartbeat * SNAPSHOT_RETRY_HEARTBEATS;
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(progress) = leader.progress.get_mut(&to) {
            progress.flow = progress::Flow::Snapshot {
                index,
                received: 0,
                sent_at: now.checked_sub(retry).unwrap_or(self.epoch),
            };
        }
    }

    /// Sends the part that the follower lacks, unless it was sent a short time ago. A newer
    /// snapshot starts the transfer anew.
    fn send_snapshot_part(&mut self, now: time::Instant, to: lift_types::MemberId) -> Option<()> {
        let stamp = self.stamp(now);
        let retry = self.cfg.timing.heartbeat * SNAPSHOT_RETRY_HEARTBEATS;
        let part_bytes = self.cfg.limits.snapshot_part_bytes;
        let snapshot = self.snapshot.clone()?;
        let role::Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let progress = leader.progress.get_mut(&to)?;
        let progress::Flow::Snapshot {
            index,
            received,
            sent_at,
        } = &mut progress.flow
        else {
            return None;
        };
        if *index != snapshot.index {
            (*index, *received) = (snapshot.index, 0);
        } else if now.saturating_duration_since(*sent_at) < retry {
            return None;
        }
        *sent_at = now;
        let offset = (*received as usize).min(snapshot.state.len());
        let end = (offset + part_bytes).min(snapshot.state.len());
        let body = message_body::MessageBody::SnapshotChunk {
            index: snapshot.index,
            last_term: snapshot.term,
            members: snapshot.members,
            offset: offset as u64,
            total: snapshot.state.len() as u64,
            part: snapshot.state.slice(offset..end),
            sent: stamp,
        };
        self.send(to, body);
        None
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        now: time::Instant,
        from: lift_types::MemberId,
        (reply_index, reply_received): (lift_types::LogIndex, u64),
        sent: u64,
    ) {
        let sent = self.epoch + time::Duration::from_nanos(sent);
        let retry = self.cfg.timing.heartbeat * SNAPSHOT_RETRY_HEARTBEATS;
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.heard(sent.min(now));
        let progress::Flow::Snapshot {
            index,
            received,
            sent_at,
        } = &mut progress.flow
        else {
            return;
        };
        if reply_index != *index || reply_received == *received {
            return;
        }
        *received = reply_received;
        // The next part goes out at once.
        *sent_at = now.checked_sub(retry).unwrap_or(self.epoch);
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
