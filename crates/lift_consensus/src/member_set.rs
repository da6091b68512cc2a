//! The members of the replicated log.

use crate::{member, member_change, member_role};

/// Members by identifier. An identifier names one disk and is never used again: a new
/// member needs one above [`MemberSet::highest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberSet {
    members: indexmap::IndexMap<lift_types::MemberId, member::Member>,
    highest: lift_types::MemberId,
}

impl MemberSet {
    /// A set without members, as a new member has before it hears from a leader.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces a member.
    pub fn with(mut self, id: lift_types::MemberId, member: member::Member) -> Self {
        self.members.insert(id, member);
        self.highest = self.highest.max(id);
        self
    }

    /// Removes a member. Its identifier stays used.
    pub fn without(mut self, id: lift_types::MemberId) -> Self {
        self.members.shift_remove(&id);
        self
    }

    /// Finds a member.
    pub fn get(&self, id: lift_types::MemberId) -> Option<&member::Member> {
        self.members.get(&id)
    }

    /// Whether `id` is a voter.
    pub fn is_voter(&self, id: lift_types::MemberId) -> bool {
        self.get(id)
            .is_some_and(|member| member.role == member_role::MemberRole::Voter)
    }

    /// Whether a change has taken effect already, so that a change which is made again after
    /// a lost answer gets the first answer. An identifier that was promoted is not one of
    /// these: its disk may be lost, and then it must not be added again.
    pub fn reflects(&self, change: &member_change::MemberChange) -> bool {
        match *change {
            member_change::MemberChange::AddLearner { id, peer, client } => {
                let role = member_role::MemberRole::Learner;
                self.get(id) == Some(&member::Member { role, peer, client })
            }
            member_change::MemberChange::Promote { id } => self.is_voter(id),
            member_change::MemberChange::Remove { id } => {
                id <= self.highest && self.get(id).is_none()
            }
        }
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = (lift_types::MemberId, &member::Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// Identifiers of the voters.
    pub fn voters(&self) -> impl Iterator<Item = lift_types::MemberId> + '_ {
        self.iter()
            .filter(|(_, member)| member.role == member_role::MemberRole::Voter)
            .map(|(id, _)| id)
    }

    /// Number of voters that make a decision: more than half.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Highest identifier that was ever used.
    pub fn highest(&self) -> lift_types::MemberId {
        self.highest
    }
}
