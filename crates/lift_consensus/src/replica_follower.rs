//! Handling of entries and snapshots from the leader, and of snapshots taken locally.

use std::time;

use crate::{action, entry, entry_log, member_history, message_body, replica, snapshot};

impl replica::Replica {
    pub(crate) fn on_append(
        &mut self,
        from: lift_types::MemberId,
        (prev_index, prev_term): (lift_types::LogIndex, lift_types::Term),
        entries: Vec<entry::Entry>,
        commit: lift_types::LogIndex,
        sent: u64,
    ) {
        // Entries up to the base are committed, so they match the leader's log.
        let precedes_base = prev_index < self.log.base_index();
        if !precedes_base && self.log.term_at(prev_index) != Some(prev_term) {
            let hint = self.rejection_hint(prev_index);
            let body = message_body::MessageBody::Rejected {
                prev_index,
                hint,
                sent,
            };
            self.reply(from, body);
            return;
        }
        let last = prev_index + entries.len() as u64;
        for entry in entries {
            self.append_received(entry);
        }
        let last = last.max(self.log.base_index());
        self.commit = self.commit.max(commit.min(last));
        if self.writes.open.entries.is_empty() {
            let matched = last.min(self.writes.synced_index());
            self.reply(from, message_body::MessageBody::Accepted { matched, sent });
            return;
        }
        let matched = last;
        self.send_after_sync(from, message_body::MessageBody::Accepted { matched, sent });
    }

    /// Replies immediately, or after the sync if the current term or vote is not synced yet,
    /// because the reply depends on the term.
    fn reply(&mut self, to: lift_types::MemberId, body: message_body::MessageBody) {
        if self.writes.is_hard_state_synced() {
            self.send(to, body);
        } else {
            self.send_after_sync(to, body);
        }
    }

    /// Returns the index that the leader should use as `prev_index` next: the last index if
    /// this log ends before `prev_index`. Otherwise skips the entries that have the same term
    /// as the one at `prev_index`, but no committed ones.
    fn rejection_hint(&self, prev_index: lift_types::LogIndex) -> lift_types::LogIndex {
        if prev_index > self.log.last_index() {
            return self.log.last_index();
        }
        let floor = self.commit.max(self.log.base_index());
        self.log
            .first_index_of_term(prev_index, floor)
            .saturating_sub(1)
            .max(floor)
    }

    fn append_received(&mut self, entry: entry::Entry) {
        if entry.index <= self.log.base_index() || self.log.term_at(entry.index) == Some(entry.term)
        {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.log.truncate_from(entry.index);
            self.members.truncate_from(entry.index);
            self.writes.truncate_from(entry.index);
        }
        self.members.push(&entry);
        self.writes.open.entries.push(entry.clone());
        self.log.push(entry);
    }

    pub(crate) fn on_snapshot_part(
        &mut self,
        from: lift_types::MemberId,
        body: message_body::MessageBody,
    ) {
        let message_body::MessageBody::SnapshotPart {
            index,
            last_term,
            members,
            offset,
            total,
            part,
            sent,
        } = body
        else {
            return;
        };
        if index <= self.commit {
            let matched = index.min(self.writes.synced_index());
            self.reply(from, message_body::MessageBody::Accepted { matched, sent });
            return;
        }
        let received = self.add_snapshot_part(index, offset, &part);
        if received < total {
            let body = message_body::MessageBody::SnapshotReply {
                index,
                received,
                sent,
            };
            self.reply(from, body);
            return;
        }
        let state = self.incoming_snapshot.take().map(|(_, buf)| buf.freeze());
        self.install_snapshot(snapshot::Snapshot {
            index,
            term: last_term,
            members,
            state: state.unwrap_or_default(),
        });
        let matched = index;
        self.send_after_sync(from, message_body::MessageBody::Accepted { matched, sent });
    }

    /// Appends a part if it is the next one, and returns the number of bytes received.
    fn add_snapshot_part(
        &mut self,
        index: lift_types::LogIndex,
        offset: u64,
        part: &bytes::Bytes,
    ) -> u64 {
        let is_new = self
            .incoming_snapshot
            .as_ref()
            .is_none_or(|(held, _)| *held != index);
        if is_new {
            self.incoming_snapshot = Some((index, bytes::BytesMut::new()));
        }
        let Some((_, buf)) = &mut self.incoming_snapshot else {
            return 0;
        };
        if offset == buf.len() as u64 {
            buf.extend_from_slice(part);
        }
        buf.len() as u64
    }

    /// Installs a snapshot of the leader. Keeps the entries that follow it if the log contains
    /// the snapshot's last entry, and otherwise replaces the whole log.
    fn install_snapshot(&mut self, snapshot: snapshot::Snapshot) {
        let log_matches = self.log.term_at(snapshot.index) == Some(snapshot.term);
        if log_matches {
            self.log.compact_to(snapshot.index);
        } else {
            self.writes.truncate_from(self.commit + 1);
            self.writes.open.entries.clear();
            self.log = entry_log::EntryLog::new(snapshot.index, snapshot.term);
            self.members =
                member_history::MemberHistory::new(snapshot.index, snapshot.members.clone());
        }
        self.commit = snapshot.index;
        self.applying = snapshot.index;
        self.snapshot = Some(snapshot.clone());
        self.saving_snapshot = None;
        self.actions.push(action::Action::Restore(snapshot.clone()));
        self.writes.open.install_snapshot = Some(snapshot);
    }

    pub(crate) fn on_snapshot_taken(&mut self, index: lift_types::LogIndex, state: bytes::Bytes) {
        self.encoding_snapshot = false;
        let covered = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let Some(term) = self.log.term_at(index).filter(|_| index > covered) else {
            return;
        };
        let members = self.members.at(index).clone();
        let snapshot = snapshot::Snapshot {
            index,
            term,
            members,
            state,
        };
        self.saving_snapshot = Some(snapshot.clone());
        self.actions.push(action::Action::SaveSnapshot(snapshot));
    }

    pub(crate) fn on_snapshot_saved(&mut self, now: time::Instant, index: lift_types::LogIndex) {
        let Some(snapshot) = self
            .saving_snapshot
            .take_if(|snapshot| snapshot.index == index)
        else {
            return;
        };
        self.snapshot = Some(snapshot);
        self.members.compact_to(index);
        let keep = index.saturating_sub(self.cfg.limits.keep_entries);
        let needed = self.needed_after_snapshot(now).unwrap_or(keep);
        self.log.compact_to(keep.min(needed));
        self.writes.open.compact_to = Some(index);
    }
}
