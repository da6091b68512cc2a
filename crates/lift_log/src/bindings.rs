//! Which disk each member has.

use std::sync;

use sync::atomic;
use tokio::sync::oneshot;

use crate::{binding, disk_thread, node};

/// Bindings of members to disks, as this member first saw them. A member whose disk was lost
/// has another disk, and is refused under its old identifier.
#[derive(Debug)]
pub(crate) struct Bindings {
    state: parking_lot::Mutex<State>,
    /// Number of the last saved change.
    saved: atomic::AtomicU64,
    /// Whether it is saved that the member may vote.
    may_vote: atomic::AtomicBool,
}

#[derive(Debug)]
struct State {
    identity: lift_disk::Identity,
    /// Number of changes so far.
    changes: u64,
    /// Members that have bound this member to its disk, since the start.
    bound_by: indexmap::IndexSet<lift_types::MemberId>,
}

impl Bindings {
    /// Starts from a saved identity.
    pub(crate) fn new(identity: lift_disk::Identity) -> Self {
        let may_vote = atomic::AtomicBool::new(identity.confirmed);
        let state = State {
            identity,
            changes: 0,
            bound_by: indexmap::IndexSet::new(),
        };
        Self {
            state: parking_lot::Mutex::new(state),
            saved: atomic::AtomicU64::new(0),
            may_vote,
        }
    }

    /// Number of this member's disk.
    pub(crate) fn own_disk(&self) -> u64 {
        self.state.lock().identity.disk
    }

    /// Notes that a change is saved.
    pub(crate) fn saved(&self, change: u64) {
        self.saved.fetch_max(change, atomic::Ordering::AcqRel);
    }

    /// Whether a change is saved already.
    pub(crate) fn is_saved(&self, change: u64) -> bool {
        self.saved.load(atomic::Ordering::Acquire) >= change
    }

    /// Notes that it is saved that the member may vote. Returns whether this is new.
    pub(crate) fn allow_voting(&self) -> bool {
        !self.may_vote.swap(true, atomic::Ordering::AcqRel)
    }

    /// Changes the identity, and has all changes so far saved where they are not.
    fn change(
        &self,
        node: &node::Node,
        f: impl FnOnce(&mut State) -> Outcome,
    ) -> (Outcome, Option<oneshot::Receiver<()>>) {
        let mut state = self.state.lock();
        let outcome = f(&mut state);
        if outcome == Outcome::Changed {
            state.changes += 1;
        }
        let (number, identity) = (state.changes, state.identity.clone());
        if outcome == Outcome::Refused || self.is_saved(number) {
            return (outcome, None);
        }
        let (done, saved) = oneshot::channel();
        // Sent under the lock, so that a later change is saved later.
        let _ = node.to_disk.send(disk_thread::Job::SaveIdentity {
            identity,
            number,
            done,
        });
        (outcome, Some(saved))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Changed,
    Unchanged,
    Refused,
}

impl node::Node {
    /// Binds `member` to `disk` durably, unless it is bound to another one.
    pub(crate) async fn bind(&self, member: lift_types::MemberId, disk: u64) -> binding::Binding {
        let (outcome, saved) =
            self.bindings
                .change(self, |state| match state.identity.peers.get(&member) {
                    Some(bound) if *bound != disk => Outcome::Refused,
                    Some(_) => Outcome::Unchanged,
                    None => {
                        state.identity.peers.insert(member, disk);
                        Outcome::Changed
                    }
                });
        if outcome == Outcome::Refused {
            return binding::Binding::OtherDisk;
        }
        let is_durable = match saved {
            Some(saved) => saved.await.is_ok(),
            None => true,
        };
        match is_durable {
            true => binding::Binding::Bound,
            false => binding::Binding::NotSaved,
        }
    }

    /// Notes that `member` has bound this member to its disk. Once so many of `voters` have
    /// that any quorum with the present identifier includes one of them, the identifier is
    /// known to be new or to be on its first disk, and this member may vote.
    pub(crate) async fn bound_by(
        &self,
        member: lift_types::MemberId,
        voters: &[lift_types::MemberId],
    ) {
        let (_, saved) = self.bindings.change(self, |state| {
            state.bound_by.insert(member);
            let others = voters.iter().filter(|id| **id != self.id);
            let confirming = others.clone().filter(|id| state.bound_by.contains(*id));
            let quorum = voters.len() / 2 + 1;
            let needed = (voters.len() + 1 - quorum).min(others.count());
            if state.identity.confirmed || voters.is_empty() || confirming.count() < needed {
                return Outcome::Unchanged;
            }
            state.identity.confirmed = true;
            Outcome::Changed
        });
        if let Some(saved) = saved {
            // The disk thread lets the member vote once this is saved.
            let _ = saved.await;
        }
    }
}
