//! What a leader does: heartbeats, lease, commit.

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
        self.incoming = None;
        self.role = role::Role::Leader(Box::new(leader_state::LeaderState {
            progress,
            opened: next,
            since: None,
            started: now,
            heartbeat_due: now + self.cfg.timing.heartbeat,
            transfer: None,
        }));
        self.append(payload::Payload::Noop);
    }

    /// Appends an entry of the current term.
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

    /// Stops leading where no quorum answers, the own disk does not finish a sync or a transfer
    /// took too long; else sends heartbeats.
    pub(crate) fn on_leader_tick(&mut self, now: time::Instant) {
        let role::Role::Leader(leader) = &self.role else {
            return;
        };
        let transfer_over = leader.transfer.is_some_and(|(_, until)| now >= until);
        let disk_stalls = self.disk_stalls(now) && self.members().quorum() > 1;
        if now >= self.leading_until(leader) || transfer_over || disk_stalls {
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
        let heartbeat_due = now + self.cfg.timing.heartbeat;
        if let role::Role::Leader(leader) = &mut self.role {
            leader.heartbeat_due = heartbeat_due;
        }
    }

    /// Whether a sync takes so long that the disk must be taken for failed. Such a leader can't
    /// answer proposers, although its heartbeats go on.
    fn disk_stalls(&self, now: time::Instant) -> bool {
        let since = self.writes.waiting_since();
        since.is_some_and(|at| now.saturating_duration_since(at) >= self.cfg.timing.sync_stall)
    }

    /// Sends an append message without entries. It renews the lease, and its reply shows
    /// whether earlier messages were lost.
    fn send_heartbeat(&mut self, now: time::Instant, to: lift_types::MemberId) {
        let sent = self.stamp(now);
        let role::Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        progress.probe_sent = false;
        let mut last_sent = progress.matched;
        if !matches!(progress.flow, progress::Flow::Snapshot(_)) {
            last_sent = progress.next - 1;
            if last_sent < self.log.base_index() {
                // Without the entry, lost messages would not show in the reply.
                self.start_sending_snapshot(to);
            }
        }
        let known = self.log.term_at(last_sent);
        let (prev_index, prev_term) = known.map_or((0, 0), |term| (last_sent, term));
        let body = message_body::MessageBody::Append {
            prev_index,
            prev_term,
            entries: Vec::new(),
            commit: self.commit.min(prev_index),
            sent,
        };
        self.send(to, body);
    }

    /// End of the lease: the time when the newest heartbeat that a quorum has answered was
    /// sent, plus the length of the lease.
    pub(crate) fn lease_until(&self, leader: &leader_state::LeaderState) -> Option<time::Instant> {
        let members = self.members();
        let own = members.is_voter(self.cfg.id);
        let needed = members.quorum() - usize::from(own);
        if needed == 0 {
            // A single voter needs nobody's answer, and nobody else can be elected.
            return Some(self.now_or_start(leader) + self.cfg.timing.lease());
        }
        let voters = members.voters().filter_map(|id| leader.progress.get(&id));
        let mut answered: Vec<_> = voters.filter_map(|progress| progress.answered).collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        let quorum_at = answered.get(needed - 1)?;
        Some(*quorum_at + self.cfg.timing.lease())
    }

    /// Time of the last heartbeat, which stands for the current time.
    fn now_or_start(&self, leader: &leader_state::LeaderState) -> time::Instant {
        leader.heartbeat_due.max(leader.started)
    }

    /// When the leader stops leading unless a quorum answers. A new leader has one election
    /// timeout to hear from it.
    pub(crate) fn leading_until(&self, leader: &leader_state::LeaderState) -> time::Instant {
        let grace = leader.started + self.cfg.timing.election;
        self.lease_until(leader)
            .map_or(grace, |until| until.max(grace))
    }

    /// Commits what a quorum has synced, where it is of the current term.
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
        let own_term = self.log.term_at(quorum_index) == Some(self.hard_state.term);
        if quorum_index <= self.commit || !own_term {
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
            && applied >= leader.opened
        {
            leader.since.get_or_insert(now);
        }
        self.start_snapshot();
    }
}
