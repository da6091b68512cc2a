//! Changes of the control members.

use std::net;

use crate::member_sight;

/// The next change of the control members, if one is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberPlan {
    /// Remove a member whose disk is gone or whose place is taken.
    Remove(lift_types::MemberId),
    /// Add a member that does not vote yet.
    Add,
    /// Let a member vote that has all entries.
    Promote(lift_types::MemberId),
}

impl MemberPlan {
    /// What is to be done for a host that asks to become a member with an empty disk. Its
    /// former member at the same address has lost its disk and goes first: it would only be
    /// counted as one more that does not answer.
    pub fn for_newcomer(members: &[member_sight::MemberSight], peer: net::SocketAddr) -> Self {
        let former = members.iter().find(|m| m.peer == peer);
        former.map_or(Self::Add, |m| Self::Remove(m.id))
    }

    /// What is to be done without a request. A learner that answers is promoted. Of an even
    /// number of voters one that does not answer is removed: an even number bears no more
    /// losses than the odd one below it, so this can only help the others.
    pub fn upkeep(members: &[member_sight::MemberSight]) -> Option<Self> {
        let learner = members.iter().find(|m| !m.is_voter && m.is_answering);
        if let Some(learner) = learner {
            return Some(Self::Promote(learner.id));
        }
        let voters = members.iter().filter(|m| m.is_voter);
        let is_even = voters.clone().count() % 2 == 0;
        let lost = voters.clone().find(|m| !m.is_answering);
        lost.filter(|_| is_even).map(|m| Self::Remove(m.id))
    }
}
