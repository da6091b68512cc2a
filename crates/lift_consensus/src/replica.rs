//! One member's decisions.

use std::{mem, time};

use rand::RngExt as _;
use rand::rngs;

use crate::{
    action, entry_log, event, hard_state, member_history, member_set, message, message_body,
    progress, replica_config, restored, role, snapshot, standing, voting, write_queue,
};

/// A member of the replicated log. It does no I/O: its driver reports what happened as
/// events and carries out the actions in order.
#[derive(Debug)]
pub struct Replica {
    pub(crate) cfg: replica_config::ReplicaConfig,
    pub(crate) rng: rngs::StdRng,
    /// Start of the clock that message times refer to.
    pub(crate) epoch: time::Instant,
    pub(crate) hard_state: hard_state::HardState,
    pub(crate) log: entry_log::EntryLog,
    pub(crate) members: member_history::MemberHistory,
    pub(crate) snapshot: Option<snapshot::Snapshot>,
    /// Snapshot that is being saved.
    pub(crate) saving: Option<snapshot::Snapshot>,
    /// Whether the state machine is being encoded.
    pub(crate) encoding: bool,
    /// Parts of a snapshot of the leader that have arrived.
    pub(crate) incoming: Option<(lift_types::LogIndex, bytes::BytesMut)>,
    pub(crate) commit: lift_types::LogIndex,
    /// Last entry that was handed to the state machine.
    pub(crate) handed_out: lift_types::LogIndex,
    pub(crate) applied: lift_types::LogIndex,
    pub(crate) role: role::Role,
    pub(crate) leader: Option<lift_types::MemberId>,
    /// Until then the member neither votes nor starts an election.
    pub(crate) promise_until: time::Instant,
    pub(crate) election_due: time::Instant,
    pub(crate) writes: write_queue::WriteQueue,
    pub(crate) actions: Vec<action::Action>,
}

impl Replica {
    /// Starts from what the disk holds. Before its first election the member waits for a
    /// whole election timeout, because it may have confirmed a heartbeat just before it
    /// stopped.
    pub fn new(
        cfg: replica_config::ReplicaConfig,
        restored: restored::Restored,
        now: time::Instant,
        rng: rngs::StdRng,
    ) -> Self {
        let snapshot = restored.snapshot;
        let (snapshot_index, snapshot_term) =
            snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        let members = snapshot.as_ref().map_or(&cfg.members, |s| &s.members);
        let mut history = member_history::MemberHistory::new(snapshot_index, members.clone());
        let mut log = entry_log::EntryLog::new(snapshot_index, snapshot_term);
        for entry in restored.entries {
            if entry.index <= log.last_index() {
                continue;
            }
            history.push(&entry);
            log.push(entry);
        }
        let mut actions = Vec::new();
        if let Some(snapshot) = &snapshot {
            actions.push(action::Action::Restore(snapshot.clone()));
        }
        let mut replica = Self {
            rng,
            epoch: now,
            hard_state: restored.hard_state,
            writes: write_queue::WriteQueue::new(log.last_index()),
            log,
            members: history,
            snapshot,
            saving: None,
            encoding: false,
            incoming: None,
            commit: snapshot_index,
            handed_out: snapshot_index,
            applied: 0,
            role: role::Role::Follower,
            leader: None,
            promise_until: now + cfg.timing.election,
            election_due: now,
            actions,
            cfg,
        };
        replica.set_election_due(now);
        replica
    }

    /// Takes in one event and returns what to do. `now` must not go back.
    pub fn step(&mut self, now: time::Instant, event: event::Event) -> Vec<action::Action> {
        match event {
            event::Event::Tick => self.on_tick(now),
            event::Event::Message(message) => self.on_message(now, message),
            event::Event::Propose(commands) => self.on_propose(commands),
            event::Event::Change(change) => self.on_change(now, change),
            event::Event::Transfer => self.on_transfer(now),
            event::Event::Synced(number) => self.writes.synced(number),
            event::Event::Applied(index) => self.on_applied(now, index),
            event::Event::SnapshotTaken { index, state } => self.on_snapshot_taken(index, state),
            event::Event::SnapshotSaved(index) => self.on_snapshot_saved(now, index),
            event::Event::VotingAllowed => self.cfg.voting = voting::Voting::Allowed,
        }
        self.advance(now);
        mem::take(&mut self.actions)
    }

    /// When the next `Tick` is needed.
    pub fn deadline(&self) -> time::Instant {
        match &self.role {
            role::Role::Leader(leader) => leader.heartbeat_due.min(self.leading_until(leader)),
            _ => self.election_due,
        }
    }

    /// Whether this member leads, or who does.
    pub fn standing(&self) -> standing::Standing {
        if let role::Role::Leader(leader) = &self.role
            && let Some(since) = leader.since
            && let Some(lease_until) = self.lease_until(leader)
            && leader.transfer.is_none()
        {
            return standing::Standing::Leader {
                term: self.hard_state.term,
                since,
                lease_until,
            };
        }
        let leader = self.leader.filter(|leader| *leader != self.cfg.id);
        standing::Standing::Follower { leader }
    }

    /// Whether this member leads its term, even where it has not applied all commands of
    /// earlier terms yet.
    pub fn is_leading(&self) -> bool {
        matches!(self.role, role::Role::Leader(_))
    }

    /// Members in force.
    pub fn members(&self) -> &member_set::MemberSet {
        self.members.current()
    }

    /// For each other member when a message was sent that it has answered. Empty where this
    /// member does not lead.
    pub fn answers(&self) -> indexmap::IndexMap<lift_types::MemberId, time::Instant> {
        let role::Role::Leader(leader) = &self.role else {
            return indexmap::IndexMap::new();
        };
        let answered = |(id, progress): (&_, &progress::Progress)| Some((*id, progress.answered?));
        leader.progress.iter().filter_map(answered).collect()
    }

    /// Current term.
    pub fn term(&self) -> lift_types::Term {
        self.hard_state.term
    }

    /// Last committed entry, as far as this member knows.
    pub fn commit_index(&self) -> lift_types::LogIndex {
        self.commit
    }

    /// Last entry of the log.
    pub fn last_index(&self) -> lift_types::LogIndex {
        self.log.last_index()
    }

    fn on_tick(&mut self, now: time::Instant) {
        if let role::Role::Leader(_) = self.role {
            self.on_leader_tick(now);
        } else if now >= self.election_due {
            self.on_election_timeout(now);
        }
    }

    /// Carries out what follows from any event: commit, replicate, write, apply.
    fn advance(&mut self, now: time::Instant) {
        self.advance_commit(now);
        self.replicate_all(now);
        if let Some(write) = self.writes.issue(now, self.log.last_index()) {
            self.actions.push(action::Action::Write(write));
        }
        for message in self.writes.release() {
            if message.term >= self.hard_state.term {
                self.actions.push(action::Action::Send(message));
            }
        }
        self.hand_out();
    }

    /// Hands committed entries to the state machine. Only synced ones, so that a snapshot
    /// never covers more than the log on the disk.
    fn hand_out(&mut self) {
        let to = self.commit.min(self.writes.synced_index());
        if to <= self.handed_out {
            return;
        }
        let entries = self.log.slice(self.handed_out + 1, to, usize::MAX);
        self.handed_out = to;
        self.actions.push(action::Action::Apply(entries));
    }

    pub(crate) fn message(
        &self,
        to: lift_types::MemberId,
        body: message_body::MessageBody,
    ) -> message::Message {
        message::Message {
            from: self.cfg.id,
            to,
            term: self.hard_state.term,
            body,
        }
    }

    pub(crate) fn send(&mut self, to: lift_types::MemberId, body: message_body::MessageBody) {
        let message = self.message(to, body);
        self.actions.push(action::Action::Send(message));
    }

    /// Sends `body` once everything written so far is synced.
    pub(crate) fn send_synced(
        &mut self,
        to: lift_types::MemberId,
        body: message_body::MessageBody,
    ) {
        let message = self.message(to, body);
        self.writes.defer(message);
    }

    pub(crate) fn set_election_due(&mut self, now: time::Instant) {
        let spread = self.random_spread();
        self.election_due = now + self.cfg.timing.election + spread;
    }

    pub(crate) fn random_spread(&mut self) -> time::Duration {
        let spread = self.cfg.timing.spread.as_micros().max(1) as u64;
        time::Duration::from_micros(self.rng.random_range(0..spread))
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: hard_state::HardState) {
        self.hard_state = hard_state;
        self.writes.set_hard_state(hard_state);
    }

    /// Follows in the current term.
    pub(crate) fn become_follower(
        &mut self,
        now: time::Instant,
        leader: Option<lift_types::MemberId>,
    ) {
        self.role = role::Role::Follower;
        self.leader = leader;
        self.set_election_due(now);
    }

    /// Enters a higher term without a vote in it.
    pub(crate) fn enter_term(&mut self, now: time::Instant, term: lift_types::Term) {
        self.set_hard_state(hard_state::HardState { term, vote: None });
        self.incoming = None;
        self.become_follower(now, None);
    }

    /// Time on the clock that message times refer to, in ns.
    pub(crate) fn stamp(&self, now: time::Instant) -> u64 {
        now.saturating_duration_since(self.epoch).as_nanos() as u64
    }
}
