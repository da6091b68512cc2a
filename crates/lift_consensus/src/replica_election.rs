//! Elections: pre-votes, votes and what a member promises to a leader.

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
        if !self.enters_term_of(now, &message) {
            self.dispatch(now, message);
            return;
        }
        self.enter_term(now, message.term);
        self.dispatch(now, message);
    }

    /// Tells a member of an earlier term that there is a newer one.
    fn on_old_term(&mut self, message: message::Message) {
        match message.body {
            message_body::MessageBody::Vote { kind, .. } => {
                let granted = false;
                self.send_synced(
                    message.from,
                    message_body::MessageBody::VoteReply { kind, granted },
                );
            }
            message_body::MessageBody::Append { .. }
            | message_body::MessageBody::SnapshotChunk { .. } => {
                self.send_synced(message.from, message_body::MessageBody::OldTerm);
            }
            _ => {}
        }
    }

    /// Whether a message of a higher term puts this member into that term. A pre-vote never
    /// does, and a regular vote does not while the promise to a leader holds.
    fn enters_term_of(&self, now: time::Instant, message: &message::Message) -> bool {
        if message.term == self.hard_state.term {
            return false;
        }
        match message.body {
            message_body::MessageBody::Vote { kind, .. } => match kind {
                vote_kind::VoteKind::Pre => false,
                vote_kind::VoteKind::Regular => !self.promise_holds(now),
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
                self.on_leader_heard(now, from);
                self.on_append(from, (prev_index, prev_term), entries, commit, sent);
            }
            message_body::MessageBody::SnapshotChunk { .. } => {
                self.on_leader_heard(now, from);
                self.on_snapshot_chunk(from, message.body);
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

    fn promise_holds(&self, now: time::Instant) -> bool {
        match &self.role {
            role::Role::Leader(leader) => now < self.leading_until(leader),
            _ => now < self.promise_until,
        }
    }

    /// Renews the promise to the leader of the current term.
    fn on_leader_heard(&mut self, now: time::Instant, leader: lift_types::MemberId) {
        self.promise_until = now + self.cfg.timing.election;
        self.become_follower(now, Some(leader));
    }

    fn on_vote(
        &mut self,
        now: time::Instant,
        (from, term): (lift_types::MemberId, lift_types::Term),
        kind: vote_kind::VoteKind,
        last: (lift_types::Term, lift_types::LogIndex),
    ) {
        let complete = last >= (self.log.last_term(), self.log.last_index());
        if kind == vote_kind::VoteKind::Pre {
            let granted = complete && term > self.hard_state.term && !self.promise_holds(now);
            let mut reply =
                self.message(from, message_body::MessageBody::VoteReply { kind, granted });
            if granted {
                reply.term = term;
            }
            self.writes.defer(reply);
            return;
        }
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let promised = kind == vote_kind::VoteKind::Regular && self.promise_holds(now);
        let granted = term == self.hard_state.term && complete && free && !promised;
        if granted && self.hard_state.vote.is_none() {
            let vote = Some(from);
            self.set_hard_state(hard_state::HardState { term, vote });
            self.set_election_due(now);
        }
        if term == self.hard_state.term {
            self.send_synced(from, message_body::MessageBody::VoteReply { kind, granted });
        }
    }

    fn on_vote_reply(
        &mut self,
        now: time::Instant,
        (from, term): (lift_types::MemberId, lift_types::Term),
        kind: vote_kind::VoteKind,
        granted: bool,
    ) {
        let asked_term = match kind {
            vote_kind::VoteKind::Pre => self.hard_state.term + 1,
            _ => self.hard_state.term,
        };
        if !granted || term != asked_term {
            return;
        }
        let role::Role::Candidate { kind: own, granted } = &mut self.role else {
            return;
        };
        if *own != kind {
            return;
        }
        granted.insert(from);
        self.count_votes(now);
    }

    /// Starts with a pre-vote, so that a member that can't win leaves the term unchanged.
    pub(crate) fn on_election_timeout(&mut self, now: time::Instant) {
        let spread = self.random_spread();
        self.election_due = now + self.cfg.timing.heartbeat * 2 + spread;
        if !self.may_lead() {
            return;
        }
        self.leader = None;
        self.start_campaign(now, vote_kind::VoteKind::Pre);
    }

    /// Whether this member may start an election. It also may while its own removal is not
    /// committed: it can be the only one whose log is long enough to win.
    fn may_lead(&self) -> bool {
        let id = self.cfg.id;
        let voter = self.members().is_voter(id) || self.members.at(self.commit).is_voter(id);
        voter && self.cfg.voting == voting::Voting::Allowed
    }

    fn on_timeout_now(&mut self, now: time::Instant, from: lift_types::MemberId) {
        if !self.may_lead() || self.leader != Some(from) {
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
