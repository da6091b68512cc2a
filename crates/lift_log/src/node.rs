//! State that the threads of one member share.

use std::sync;

use sync::{atomic, mpsc};
use tokio::sync::watch;

use crate::{
    apply_thread, bindings, disk_thread, leadership, link_switch, peer_links, proposal,
    propose_error, timer_thread, waiters,
};

/// One member: its decisions under one lock, and the channels to the threads that do the
/// work. The lock is held for one step at a time, never across a sync or an await.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) id: lift_types::MemberId,
    pub(crate) log: slog::Logger,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) replica: parking_lot::Mutex<lift_consensus::Replica>,
    /// Proposals that the next step takes together.
    pub(crate) queue: parking_lot::Mutex<Vec<proposal::Proposal>>,
    pub(crate) waiters: waiters::Waiters,
    pub(crate) bindings: bindings::Bindings,
    pub(crate) leadership: sync::Arc<watch::Sender<leadership::Leadership>>,
    pub(crate) links: peer_links::PeerLinks,
    pub(crate) switch: Option<sync::Arc<link_switch::LinkSwitch>>,
    pub(crate) timer: timer_thread::Timer,
    pub(crate) timing: lift_consensus::Timing,
    pub(crate) to_disk: mpsc::Sender<disk_thread::Job>,
    pub(crate) to_apply: mpsc::Sender<apply_thread::Job>,
    pub(crate) to_snapshot: mpsc::Sender<Option<lift_consensus::Snapshot>>,
    pub(crate) stopped: atomic::AtomicBool,
    /// Whether others know this identifier with another disk.
    pub(crate) is_replaced: atomic::AtomicBool,
    pub(crate) cancel: tokio_util::sync::CancellationToken,
}

impl Node {
    /// Takes in one event and carries out what follows.
    pub(crate) fn step(&self, event: lift_consensus::Event) {
        let mut replica = self.replica.lock();
        let actions = replica.step(lift_clock::now(), event);
        self.publish(&replica);
        self.carry_out(actions, Vec::new());
    }

    /// Appends all proposals that wait.
    pub(crate) fn step_proposals(&self) {
        let mut replica = self.replica.lock();
        let proposals = std::mem::take(&mut *self.queue.lock());
        let (commands, replies) = proposals.into_iter().map(|p| (p.command, p.reply)).unzip();
        let event = lift_consensus::Event::Propose(commands);
        let actions = replica.step(lift_clock::now(), event);
        self.publish(&replica);
        self.carry_out(actions, replies);
    }

    /// Makes a change of members. Its result goes to `reply`.
    pub(crate) fn step_change(
        &self,
        change: lift_consensus::MemberChange,
        reply: proposal::Reply,
    ) -> Option<lift_consensus::Refusal> {
        let mut replica = self.replica.lock();
        let event = lift_consensus::Event::Change(change);
        let actions = replica.step(lift_clock::now(), event);
        let refusal = actions.iter().find_map(|action| match action {
            lift_consensus::Action::Refused(refusal) => Some(*refusal),
            _ => None,
        });
        self.publish(&replica);
        self.carry_out(actions, vec![reply]);
        refusal
    }

    /// Publishes who leads before any message of the step is sent, so that no answer is
    /// given under a lease that the step has ended.
    fn publish(&self, replica: &lift_consensus::Replica) {
        let members = replica.members();
        let new = match replica.leadership_status() {
            lift_consensus::LeadershipStatus::Leader {
                term,
                since,
                lease_until,
            } => leadership::Leadership::Leader {
                term,
                since,
                lease_until,
            },
            lift_consensus::LeadershipStatus::Follower { leader } => {
                let address = |id| members.get(id).map(|member| (id, member.client));
                leadership::Leadership::Follower {
                    leader: leader.and_then(address),
                }
            }
        };
        if self.stopped.load(atomic::Ordering::Acquire) {
            return;
        }
        let has_changed = self.leadership.send_if_modified(|current| {
            let changed = !current.differs_in_lease_only(&new);
            *current = new.clone();
            changed
        });
        if has_changed {
            slog::info!(self.log, "leadership changed"; "now" => %new,
                "term" => replica.term(), "voters" => replica.members().voters().count());
        }
        if !replica.is_leading() {
            self.waiters.give_up();
        }
        self.links.set_members(members);
    }

    fn carry_out(&self, actions: Vec<lift_consensus::Action>, replies: Vec<proposal::Reply>) {
        let mut replies = Some(replies);
        for action in actions {
            match action {
                lift_consensus::Action::Write(write) => {
                    let _ = self.to_disk.send(disk_thread::Job::Write(write));
                }
                lift_consensus::Action::Send(message) => self.links.send(message),
                lift_consensus::Action::Apply(entries) => {
                    let _ = self.to_apply.send(apply_thread::Job::Apply(entries));
                }
                lift_consensus::Action::EndReplay => {
                    let _ = self.to_apply.send(apply_thread::Job::EndReplay);
                }
                lift_consensus::Action::Restore(snapshot) => {
                    let _ = self.to_apply.send(apply_thread::Job::Restore(snapshot));
                }
                lift_consensus::Action::TakeSnapshot => {
                    let _ = self.to_apply.send(apply_thread::Job::TakeSnapshot);
                }
                lift_consensus::Action::SaveSnapshot(snapshot) => {
                    let _ = self.to_snapshot.send(Some(snapshot));
                }
                lift_consensus::Action::Appended { first, term } => {
                    let replies = replies.take().unwrap_or_default();
                    for (index, reply) in (first..).zip(replies) {
                        self.waiters.insert(index, term, reply);
                    }
                }
                lift_consensus::Action::Refused(_) => {
                    for reply in replies.take().unwrap_or_default() {
                        let _ = reply.send(Err(propose_error::ProposeError::NotLeader));
                    }
                }
            }
        }
    }

    /// Ends the member at once, without handing over the lead. A failed disk ends here too:
    /// nothing is known then about what is durable.
    pub(crate) fn shut_down(&self) {
        let _step = self.replica.lock();
        if self.stopped.swap(true, atomic::Ordering::AcqRel) {
            return;
        }
        self.leadership
            .send_replace(leadership::Leadership::Follower { leader: None });
        self.cancel.cancel();
        self.timer.stop();
        let _ = self.to_disk.send(disk_thread::Job::Stop);
        let _ = self.to_apply.send(apply_thread::Job::Stop);
        let _ = self.to_snapshot.send(None);
        self.waiters.give_up();
    }

    /// Whether the member has ended.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(atomic::Ordering::Acquire)
    }
}
