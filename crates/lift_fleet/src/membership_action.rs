//! Changes to the set of control members.

use std::net;

use crate::member_status;

/// Next change to the set of control members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Remove a member that has lost its disk or has stopped answering.
    Remove(lift_types::MemberId),
    /// Add a member as a learner, which does not vote yet.
    Add,
    /// Make a learner a voter. The replicated log refuses this until the learner has synced all
    /// committed entries.
    Promote(lift_types::MemberId),
}

impl MembershipAction {
    /// Returns the next action for a host that asks to join with an empty disk. If a member with
    /// the same address exists, it has lost its disk and is removed first: otherwise it would
    /// count as one more member that does not answer.
    pub fn for_join_request(
        members: &[member_status::MemberStatus],
        peer: net::SocketAddr,
    ) -> Self {
        let former = members.iter().find(|m| m.peer == peer);
        former.map_or(Self::Add, |m| Self::Remove(m.id))
    }

    /// Returns the next action that is due without a request, if any. A learner that answers is
    /// promoted. If the number of voters is even, one that does not answer is removed: an even
    /// number tolerates no more failures than the odd number below it, so the removal never
    /// reduces fault tolerance.
    pub fn next_due(members: &[member_status::MemberStatus]) -> Option<Self> {
        let learner = members.iter().find(|m| !m.is_voter && m.is_responsive);
        if let Some(learner) = learner {
            return Some(Self::Promote(learner.id));
        }
        let voters = members.iter().filter(|m| m.is_voter);
        let is_even = voters.clone().count() % 2 == 0;
        let lost = voters.clone().find(|m| !m.is_responsive);
        lost.filter(|_| is_even).map(|m| Self::Remove(m.id))
    }
}
