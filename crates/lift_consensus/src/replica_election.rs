//! Elections: pre-votes, votes and the leases that followers grant to a leader.

use std::time;

use crate::{hard_state, message, message_body, replica, role, vote_kind, voting};

impl replica::Replica {
    pub(crate) fn on_message(&mut self, now: time::Instant, message: message::Message) {
        if message.to != self.cfg.id || self.cfg.voting == voting::Voting::Withheld {
            return;
        }
        if message.term < self.hard_state.term {
            self.on_old_term(message);
            return;
        }
        if !self.should_enter_term(now, &message) {
            self.dispatch(now, message);
            return;
        }
        self.enter_term(now, message.term);
        self.dispatch(now, message);
    }

    /// Notifies the sender of a message of an earlier term that there is a newer term.
    fn on_old_term(&mut self, message: message::Message) {
        match message.body {
            message_body::MessageBody::Vote { kind, .. } => {
                let granted = false;
                self.send_after_sync(
                    message.from,
                    message_body::MessageBody::VoteReply { kind, granted },
                );
            }
            message_body::MessageBody::Append { .. }
            | message_body::MessageBody::SnapshotPart { .. } => {
                self.send_after_sync(message.from, message_body::MessageBody::OldTerm);
            }
            _ => {}
        }
    }

    /// Returns whether the term of a message is higher and this member must enter it. A
    /// pre-vote request or a granted pre-vote never requires that, nor does a regular vote
    /// request while the lease that this member granted to a leader is valid.
    fn should_enter_term(&self, now: time::Instant, message: &message::Message) -> bool {
        if message.term == self.hard_state.term {
            return false;
        }
        match message.body {
            message_body::MessageBody::Vote { kind, .. } => match kind {
                vote_kind::VoteKind::Pre => false,
                vote_kind::VoteKind::Regular => !self.has_granted_lease(now),
                vote_kind::VoteKind::Transfer => true,
            },
            message_body::MessageBody::VoteReply { kind, granted } => {
                kind != vote_kind::VoteKind::Pre || !granted
            }
            _ => true,
        }
    }

    fn dispatch(&mut self, now: time::Instant, message: message::Message) {
        let (from, term) = (message.from, message.term);
        match message.body {
            message_body::MessageBody::Vote {
                kind,
                last_index,
                last_term,
            } => self.on_vote(now, (from, term), kind, (last_term, last_index)),
            message_body::MessageBody::VoteReply { kind, granted } => {
                self.on_vote_reply(now, (from, term), kind, granted);
            }
            message_body::MessageBody::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                sent,
            } => {
                self.on_leader_contact(now, from);
                // A commit index that reaches the end of the message may be limited to it.
                if commit < prev_index + entries.len() as u64 {
                    self.replay.record_contact(self.hard_state.term, commit);
                }
                self.on_append(from, (prev_index, prev_term), entries, commit, sent);
            }
            message_body::MessageBody::SnapshotPart { .. } => {
                self.on_leader_contact(now, from);
                self.on_snapshot_part(from, message.body);
            }
            message_body::MessageBody::Accepted { matched, sent } => {
                self.on_accepted(now, from, matched, sent);
            }
            message_body::MessageBody::Rejected {
                prev_index,
                hint,
                sent,
            } => self.on_rejected(now, from, (prev_index, hint), sent),
            message_body::MessageBody::SnapshotReply {
                index,
                received,
                sent,
            } => self.on_snapshot_reply(now, from, (index, received), sent),
            message_body::MessageBody::TimeoutNow => self.on_timeout_now(now, from),
            message_body::MessageBody::OldTerm => {}
        }
    }

    /// Returns whether a lease that this member granted to a leader may still be valid. A leader
    /// counts as having granted a lease to itself until the time at which it must step down.
    fn has_granted_lease(&self, now: time::Instant) -> bool {
        match &self.role {
            role::Role::Leader(leader) => now < self.step_down_at(leader),
            _ => now < self.lease_granted_until,
        }
    }

    /// Renews the lease that this member grants to the leader of the current term.
    fn on_leader_contact(&mut self, now: time::Instant, leader: lift_types::MemberId) {
        self.lease_granted_until = now + self.cfg.timing.election_timeout;
        self.become_follower(now, Some(leader));
    }

    fn on_vote(
        &mut self,
        now: time::Instant,
        (from, term): (lift_types::MemberId, lift_types::Term),
        kind: vote_kind::VoteKind,
        last: (lift_types::Term, lift_types::LogIndex),
    ) {
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        if kind == vote_kind::VoteKind::Pre {
            let granted = up_to_date && term > self.hard_state.term && !self.has_granted_lease(now);
            let mut reply =
                self.message(from, message_body::MessageBody::VoteReply { kind, granted });
            if granted {
                reply.term = term;
            }
            self.writes.defer(reply);
            return;
        }
        let vote_available = self.hard_state.vote.is_none_or(|vote| vote == from);
        let lease_granted = kind == vote_kind::VoteKind::Regular && self.has_granted_lease(now);
        let granted =
            term == self.hard_state.term && up_to_date && vote_available && !lease_granted;
        if granted && self.hard_state.vote.is_none() {
            let vote = Some(from);
            self.set_hard_state(hard_state::HardState { term, vote });
            self.set_election_due(now);
        }
        if term == self.hard_state.term {
            self.send_after_sync(from, message_body::MessageBody::VoteReply { kind, granted });
        }
    }

    fn on_vote_reply(
        &mut self,
        now: time::Instant,
        (from, term): (lift_types::MemberId, lift_types::Term),
        kind: vote_kind::VoteKind,
        granted: bool,
    ) {
        let requested_term = match kind {
            vote_kind::VoteKind::Pre => self.hard_state.term + 1,
            _ => self.hard_state.term,
        };
        if !granted || term != requested_term {
            return;
        }
        let role::Role::Candidate {
            kind: own_kind,
            granted,
        } = &mut self.role
        else {
            return;
        };
        if *own_kind != kind {
            return;
        }
        granted.insert(from);
        self.count_votes(now);
    }

    /// Starts a pre-vote, so that a member that can't win does not increase the term.
    pub(crate) fn on_election_timeout(&mut self, now: time::Instant) {
        let jitter = self.random_jitter();
        self.election_due = now + self.cfg.timing.heartbeat_interval * 2 + jitter;
        if !self.can_campaign() {
            return;
        }
        self.leader = None;
        self.start_campaign(now, vote_kind::VoteKind::Pre);
    }

    /// Returns whether this member may start an election. A voter still may while its own
    /// removal is not committed, because it can be the only member with a log that is
    /// complete enough to win.
    fn can_campaign(&self) -> bool {
        let id = self.cfg.id;
        let voter = self.members().is_voter(id) || self.members.at(self.commit).is_voter(id);
        voter && self.cfg.voting == voting::Voting::Allowed
    }

    fn on_timeout_now(&mut self, now: time::Instant, from: lift_types::MemberId) {
        if !self.can_campaign() || self.leader != Some(from) {
            return;
        }
        self.set_election_due(now);
        self.start_campaign(now, vote_kind::VoteKind::Transfer);
    }

    fn start_campaign(&mut self, now: time::Instant, kind: vote_kind::VoteKind) {
        let term = self.hard_state.term + 1;
        if kind != vote_kind::VoteKind::Pre {
            let vote = Some(self.cfg.id);
            self.set_hard_state(hard_state::HardState { term, vote });
            self.leader = None;
        }
        self.role = role::Role::Candidate {
            kind,
            granted: indexmap::IndexSet::from([self.cfg.id]),
        };
        let body = message_body::MessageBody::Vote {
            kind,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let others: Vec<_> = self.members().voters().collect();
        for to in others.into_iter().filter(|to| *to != self.cfg.id) {
            let mut request = self.message(to, body.clone());
            request.term = term;
            self.writes.defer(request);
        }
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: time::Instant) {
        let role::Role::Candidate { kind, granted } = &self.role else {
            return;
        };
        let members = self.members();
        let votes = members.voters().filter(|id| granted.contains(id)).count();
        if votes < members.quorum() {
            return;
        }
        if *kind != vote_kind::VoteKind::Pre {
            self.become_leader(now);
            return;
        }
        self.set_election_due(now);
        self.start_campaign(now, vote_kind::VoteKind::Regular);
    }
}
