//! Members of the replicated log.

use crate::{member, member_change, member_role};

/// Members by identifier. An identifier stands for one disk and is never reused: a new
/// member needs an identifier above [`MemberSet::highest_id`].
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberSet {
    members: indexmap::IndexMap<lift_types::MemberId, member::Member>,
    highest_id: lift_types::MemberId,
}

impl MemberSet {
    /// Creates an empty set, as a joining member has before the leader contacts it.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the set with a member added or replaced.
    pub fn with(mut self, id: lift_types::MemberId, member: member::Member) -> Self {
        self.members.insert(id, member);
        self.highest_id = self.highest_id.max(id);
        self
    }

    /// Returns the set without a member, whose identifier still counts as used.
    pub fn without(mut self, id: lift_types::MemberId) -> Self {
        self.members.shift_remove(&id);
        self
    }

    /// Returns the member with this identifier.
    pub fn get(&self, id: lift_types::MemberId) -> Option<&member::Member> {
        self.members.get(&id)
    }

    /// Returns whether `id` is a voter.
    pub fn is_voter(&self, id: lift_types::MemberId) -> bool {
        self.get(id)
            .is_some_and(|member| member.role == member_role::MemberRole::Voter)
    }

    /// Returns whether the set already contains the effect of a change, so that a retry after
    /// a lost reply can succeed like the first attempt. Adding a learner that was promoted
    /// since does not qualify: its disk may have been lost, in which case the identifier must
    /// not be added again.
    pub fn has_applied(&self, change: &member_change::MemberChange) -> bool {
        match *change {
            member_change::MemberChange::AddLearner { id, peer, client } => {
                let role = member_role::MemberRole::Learner;
                self.get(id) == Some(&member::Member { role, peer, client })
            }
            member_change::MemberChange::Promote { id } => self.is_voter(id),
            member_change::MemberChange::Remove { id } => {
                id <= self.highest_id && self.get(id).is_none()
            }
        }
    }

    /// Iterates over all members.
    pub fn iter(&self) -> impl Iterator<Item = (lift_types::MemberId, &member::Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// Iterates over the identifiers of the voters.
    pub fn voters(&self) -> impl Iterator<Item = lift_types::MemberId> + '_ {
        self.iter()
            .filter(|(_, member)| member.role == member_role::MemberRole::Voter)
            .map(|(id, _)| id)
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the number of members, learners included.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the set has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the highest identifier ever used, also by members that were removed since.
    pub fn highest_id(&self) -> lift_types::MemberId {
        self.highest_id
    }
}
