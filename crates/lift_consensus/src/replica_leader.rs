//! Leader logic: proposals, heartbeats, lease and commit.

use std::time;

use crate::{action, entry, leader_state, message_body, payload, progress, refusal, replica, role};

impl replica::Replica {
    pub(crate) fn become_leader(&mut self, now: time::Instant) {
        let next = self.log.last_index() + 1;
        let others = self.members().iter().map(|(id, _)| id);
        let others = others.filter(|id| *id != self.cfg.id);
        let progress = others
            .map(|id| (id, progress::Progress::new(next)))
            .collect();
        self.leader = Some(self.cfg.id);
        self.replay
            .record_contact(self.hard_state.term, self.commit);
        self.incoming_snapshot = None;
        self.role = role::Role::Leader(Box::new(leader_state::LeaderState {
            progress,
            first_index: next,
            ready_since: None,
            started: now,
            heartbeat_due: now + self.cfg.timing.heartbeat_interval,
            transfer: None,
        }));
        let payload = self.first_payload();
        self.append(payload);
    }

    /// Returns the payload of the first entry of a term. The first leader of a cluster writes
    /// the initial members into the log, so that a later edit of the settings can't change
    /// them.
    fn first_payload(&self) -> payload::Payload {
        if self.members.current_index() > 0 {
            return payload::Payload::Noop;
        }
        payload::Payload::Members(self.members().clone())
    }

    /// Appends an entry of the current term and returns its index.
    pub(crate) fn append(&mut self, payload: payload::Payload) -> lift_types::LogIndex {
        let entry = entry::Entry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            payload,
        };
        let index = entry.index;
        self.members.push(&entry);
        self.writes.open.entries.push(entry.clone());
        self.log.push(entry);
        index
    }

    pub(crate) fn on_propose(&mut self, commands: Vec<bytes::Bytes>) {
        let role::Role::Leader(leader) = &self.role else {
            self.refuse(refusal::Refusal::NotLeader);
            return;
        };
        if leader.transfer.is_some() {
            self.refuse(refusal::Refusal::NotLeader);
            return;
        }
        let first = self.log.last_index() + 1;
        let term = self.hard_state.term;
        for command in commands {
            self.append(payload::Payload::Command(command));
        }
        self.actions.push(action::Action::Appended { first, term });
    }

    pub(crate) fn refuse(&mut self, reason: refusal::Refusal) {
        self.actions.push(action::Action::Refused(reason));
    }

    /// Steps down if no quorum replies, a leadership transfer times out, or a sync of the local
    /// disk stalls and there are other voters. Otherwise sends heartbeats when they are due.
    pub(crate) fn on_leader_tick(&mut self, now: time::Instant) {
        let role::Role::Leader(leader) = &self.role else {
            return;
        };
        let transfer_timed_out = leader.transfer.is_some_and(|(_, until)| now >= until);
        let disk_stalled = self.is_disk_stalled(now) && self.members().quorum() > 1;
        if now >= self.step_down_at(leader) || transfer_timed_out || disk_stalled {
            self.become_follower(now, None);
            return;
        }
        if now < leader.heartbeat_due {
            return;
        }
        let to: Vec<_> = leader.progress.keys().copied().collect();
        for to in to {
            self.send_heartbeat(now, to);
        }
        let heartbeat_due = now + self.cfg.timing.heartbeat_interval;
        if let role::Role::Leader(leader) = &mut self.role {
            leader.heartbeat_due = heartbeat_due;
        }
    }

    /// Returns whether a sync takes so long that the disk is considered failed. A leader with a
    /// failed disk can't complete proposals, although it still sends heartbeats.
    fn is_disk_stalled(&self, now: time::Instant) -> bool {
        let since = self.writes.oldest_pending_since();
        since.is_some_and(|at| now.saturating_duration_since(at) >= self.cfg.timing.sync_timeout)
    }

    /// Sends an append message without entries. Its reply renews the lease and reveals whether
    /// earlier messages were lost.
    fn send_heartbeat(&mut self, now: time::Instant, to: lift_types::MemberId) {
        let sent = self.elapsed_ns(now);
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        progress.probe_sent = false;
        let mut last_sent = progress.matched;
        if !matches!(progress.mode, progress::ReplicationMode::Snapshot(_)) {
            last_sent = progress.next - 1;
            if last_sent < self.log.base_index() {
                // The preceding entry is compacted away, so a reply could not reveal lost
                // messages.
                self.start_sending_snapshot(to);
            }
        }
        let last_term = self.log.term_at(last_sent);
        let (prev_index, prev_term) = last_term.map_or((0, 0), |term| (last_sent, term));
        let body = message_body::MessageBody::Append {
            prev_index,
            prev_term,
            entries: Vec::new(),
            commit: self.commit.min(prev_index),
            sent,
        };
        self.send(to, body);
    }

    /// Returns the end of the lease: the sending time of the newest message to which a quorum
    /// has replied, plus the length of the lease. Returns `None` before a quorum has replied.
    pub(crate) fn lease_until(&self, leader: &leader_state::LeaderState) -> Option<time::Instant> {
        let members = self.members();
        let own = members.is_voter(self.cfg.id);
        let needed = members.quorum() - usize::from(own);
        if needed == 0 {
            // A single voter needs no replies, and no other member can be elected.
            return Some(self.single_voter_lease_start(leader) + self.cfg.timing.lease());
        }
        let voters = members.voters().filter_map(|id| leader.progress.get(&id));
        let mut contacts: Vec<_> = voters
            .filter_map(|progress| progress.last_contact)
            .collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        let quorum_at = contacts.get(needed - 1)?;
        Some(*quorum_at + self.cfg.timing.lease())
    }

    /// Returns the time from which the lease of a single voter is counted. The next heartbeat
    /// is used in place of the current time.
    fn single_voter_lease_start(&self, leader: &leader_state::LeaderState) -> time::Instant {
        leader.heartbeat_due.max(leader.started)
    }

    /// Returns the time at which the leader steps down unless a quorum replies. A new leader
    /// has at least one election timeout to receive the replies.
    pub(crate) fn step_down_at(&self, leader: &leader_state::LeaderState) -> time::Instant {
        let grace = leader.started + self.cfg.timing.election_timeout;
        self.lease_until(leader)
            .map_or(grace, |until| until.max(grace))
    }

    /// Commits the entries that a quorum has synced, if the last of them is of the current
    /// term. Steps down once the removal of this member is committed.
    pub(crate) fn advance_commit(&mut self, now: time::Instant) {
        let role::Role::Leader(leader) = &self.role else {
            return;
        };
        let members = self.members();
        let matched = |id: lift_types::MemberId| {
            if id == self.cfg.id {
                return self.writes.synced_index();
            }
            leader
                .progress
                .get(&id)
                .map_or(0, |progress| progress.matched)
        };
        let mut synced: Vec<_> = members.voters().map(matched).collect();
        synced.sort_unstable_by(|a, b| b.cmp(a));
        let Some(quorum_index) = synced.get(members.quorum() - 1).copied() else {
            return;
        };
        let is_current_term = self.log.term_at(quorum_index) == Some(self.hard_state.term);
        if quorum_index <= self.commit || !is_current_term {
            return;
        }
        self.commit = quorum_index;
        let removed = !self.members().is_voter(self.cfg.id);
        if removed && self.commit >= self.members.current_index() {
            self.become_follower(now, None);
        }
    }

    pub(crate) fn on_applied(&mut self, now: time::Instant, index: lift_types::LogIndex) {
        self.applied = self.applied.max(index);
        let applied = self.applied;
        if let role::Role::Leader(leader) = &mut self.role
            && applied >= leader.first_index
        {
            leader.ready_since.get_or_insert(now);
        }
        self.request_snapshot_if_due();
    }
}
