//! Consensus state of one member.

use std::{mem, time};

use rand::RngExt as _;
use rand::rngs;

use crate::{
    action, entry_log, event, hard_state, leadership_status, member_history, member_set, message,
    message_body, progress, recovered_state, replay, replica_config, role, snapshot, voting,
    write_queue,
};

/// Consensus state of one member of the replicated log. It does no I/O: the driver passes in
/// events and carries out the returned actions in order.
#[derive(Debug)]
pub struct Replica {
    pub(crate) cfg: replica_config::ReplicaConfig,
    pub(crate) rng: rngs::StdRng,
    /// Origin of the sending times in messages.
    pub(crate) epoch: time::Instant,
    pub(crate) hard_state: hard_state::HardState,
    pub(crate) log: entry_log::EntryLog,
    pub(crate) members: member_history::MemberHistory,
    pub(crate) snapshot: Option<snapshot::Snapshot>,
    /// Snapshot that is being saved.
    pub(crate) saving_snapshot: Option<snapshot::Snapshot>,
    /// Whether the state machine is being encoded for a snapshot.
    pub(crate) encoding_snapshot: bool,
    /// Index and received bytes of a snapshot that the leader is sending.
    pub(crate) incoming_snapshot: Option<(lift_types::LogIndex, bytes::BytesMut)>,
    pub(crate) commit: lift_types::LogIndex,
    pub(crate) replay: replay::Replay,
    /// Index of the last entry that was passed to the state machine.
    pub(crate) applying: lift_types::LogIndex,
    pub(crate) applied: lift_types::LogIndex,
    pub(crate) role: role::Role,
    pub(crate) leader: Option<lift_types::MemberId>,
    /// End of the lease that the member granted to a leader, or may have granted before a
    /// restart. Until then it neither starts an election nor votes, except in a leadership
    /// transfer.
    pub(crate) lease_granted_until: time::Instant,
    pub(crate) election_due: time::Instant,
    pub(crate) writes: write_queue::WriteQueue,
    pub(crate) actions: Vec<action::Action>,
}

impl Replica {
    /// Creates a replica from its durable state. The member waits for a whole election timeout
    /// before it votes or starts an election, because it may have granted a lease just before
    /// it stopped.
    pub fn new(
        cfg: replica_config::ReplicaConfig,
        recovered: recovered_state::RecoveredState,
        now: time::Instant,
        rng: rngs::StdRng,
    ) -> Self {
        let snapshot = recovered.snapshot;
        let (snapshot_index, snapshot_term) =
            snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        let members = snapshot.as_ref().map_or(&cfg.members, |s| &s.members);
        let mut history = member_history::MemberHistory::new(snapshot_index, members.clone());
        let mut log = entry_log::EntryLog::new(snapshot_index, snapshot_term);
        for entry in recovered.entries {
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
            hard_state: recovered.hard_state,
            writes: write_queue::WriteQueue::new(log.last_index()),
            log,
            members: history,
            snapshot,
            saving_snapshot: None,
            encoding_snapshot: false,
            incoming_snapshot: None,
            commit: snapshot_index,
            replay: replay::Replay::default(),
            applying: snapshot_index,
            applied: 0,
            role: role::Role::Follower,
            leader: None,
            lease_granted_until: now + cfg.timing.election_timeout,
            election_due: now,
            actions,
            cfg,
        };
        replica.set_election_due(now);
        replica
    }

    /// Handles an event and returns the resulting actions. `now` must not decrease from call
    /// to call.
    pub fn step(&mut self, now: time::Instant, event: event::Event) -> Vec<action::Action> {
        match event {
            event::Event::Tick => self.on_tick(now),
            event::Event::Message(message) => self.on_message(now, message),
            event::Event::Propose(commands) => self.on_propose(commands),
            event::Event::Change(change) => self.on_change(now, change),
            event::Event::TransferLeadership => self.on_transfer_leadership(now),
            event::Event::Synced(number) => self.writes.record_synced(number),
            event::Event::Applied(index) => self.on_applied(now, index),
            event::Event::SnapshotTaken { index, state } => self.on_snapshot_taken(index, state),
            event::Event::SnapshotSaved(index) => self.on_snapshot_saved(now, index),
            event::Event::VotingAllowed => self.cfg.voting = voting::Voting::Allowed,
        }
        self.advance(now);
        mem::take(&mut self.actions)
    }

    /// Returns the time at which the next `Tick` is due.
    pub fn deadline(&self) -> time::Instant {
        match &self.role {
            role::Role::Leader(leader) => leader.heartbeat_due.min(self.step_down_at(leader)),
            _ => self.election_due,
        }
    }

    /// Returns whether this member is a leader that is ready to serve, and otherwise which
    /// member leads.
    pub fn leadership_status(&self) -> leadership_status::LeadershipStatus {
        if let role::Role::Leader(leader) = &self.role
            && let Some(since) = leader.ready_since
            && let Some(lease_until) = self.lease_until(leader)
            && leader.transfer.is_none()
        {
            return leadership_status::LeadershipStatus::Leader {
                term: self.hard_state.term,
                since,
                lease_until,
            };
        }
        let leader = self.leader.filter(|leader| *leader != self.cfg.id);
        leadership_status::LeadershipStatus::Follower { leader }
    }

    /// Returns whether this member is the leader of its term. Unlike in `leadership_status`,
    /// this includes a leader that has not yet applied all commands of earlier terms or is
    /// transferring leadership.
    pub fn is_leading(&self) -> bool {
        matches!(self.role, role::Role::Leader(_))
    }

    /// Returns the member set in effect.
    pub fn members(&self) -> &member_set::MemberSet {
        self.members.current()
    }

    /// Returns whether the member set in effect is known to be committed. An uncommitted one may
    /// still be replaced by the set before it.
    pub fn has_committed_members(&self) -> bool {
        self.members.current_index() <= self.commit
    }

    /// Returns, for each other member that has replied to this leader, the sending time of the
    /// newest message to which it replied. Empty if this member is not the leader.
    pub fn last_contacts(&self) -> indexmap::IndexMap<lift_types::MemberId, time::Instant> {
        let role::Role::Leader(leader) = &self.role else {
            return indexmap::IndexMap::new();
        };
        let last_contact =
            |(id, progress): (&_, &progress::Progress)| Some((*id, progress.last_contact?));
        leader.progress.iter().filter_map(last_contact).collect()
    }

    /// Returns the current term.
    pub fn term(&self) -> lift_types::Term {
        self.hard_state.term
    }

    /// Returns the index of the last entry that this member knows to be committed.
    pub fn commit_index(&self) -> lift_types::LogIndex {
        self.commit
    }

    /// Returns the index of the last entry of the log.
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

    /// Performs the work that can follow from any event: commits and replicates entries,
    /// issues a write, sends the messages whose writes are synced and applies entries.
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
        self.apply_committed();
    }

    /// Passes committed entries to the state machine. Entries that are not synced yet are held
    /// back, so that a snapshot never covers more than the log on disk.
    fn apply_committed(&mut self) {
        let to = self.commit.min(self.writes.synced_index());
        if to <= self.applying {
            return;
        }
        let mut entries = self.log.slice(self.applying + 1, to, usize::MAX);
        self.applying = to;
        let was_over = self.replay.is_over();
        let new = self.replay.split_off_new(&mut entries);
        if !entries.is_empty() {
            self.actions.push(action::Action::Apply(entries));
        }
        if !was_over && self.replay.is_over() {
            self.actions.push(action::Action::EndReplay);
        }
        if !new.is_empty() {
            self.actions.push(action::Action::Apply(new));
        }
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

    /// Sends `body` once all writes so far are synced.
    pub(crate) fn send_after_sync(
        &mut self,
        to: lift_types::MemberId,
        body: message_body::MessageBody,
    ) {
        let message = self.message(to, body);
        self.writes.defer(message);
    }

    pub(crate) fn set_election_due(&mut self, now: time::Instant) {
        let jitter = self.random_jitter();
        self.election_due = now + self.cfg.timing.election_timeout + jitter;
    }

    pub(crate) fn random_jitter(&mut self) -> time::Duration {
        let jitter = self.cfg.timing.election_jitter.as_micros().max(1) as u64;
        time::Duration::from_micros(self.rng.random_range(0..jitter))
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: hard_state::HardState) {
        self.hard_state = hard_state;
        self.writes.set_hard_state(hard_state);
    }

    /// Becomes a follower in the current term.
    pub(crate) fn become_follower(
        &mut self,
        now: time::Instant,
        leader: Option<lift_types::MemberId>,
    ) {
        self.role = role::Role::Follower;
        self.leader = leader;
        self.set_election_due(now);
    }

    /// Enters a higher term as a follower that has not voted.
    pub(crate) fn enter_term(&mut self, now: time::Instant, term: lift_types::Term) {
        self.set_hard_state(hard_state::HardState { term, vote: None });
        self.incoming_snapshot = None;
        self.become_follower(now, None);
    }

    /// Returns the time since `epoch`, in ns, as used for sending times in messages.
    pub(crate) fn elapsed_ns(&self, now: time::Instant) -> u64 {
        now.saturating_duration_since(self.epoch).as_nanos() as u64
    }
}
