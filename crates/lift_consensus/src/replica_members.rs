//! Membership changes and leadership transfer.

use std::time;

use crate::{
    action, member, member_change, member_role, member_set, message_body, payload, progress,
    refusal, replica, role,
};

impl replica::Replica {
    pub(crate) fn on_change(&mut self, now: time::Instant, change: member_change::MemberChange) {
        match self.members_after(now, change) {
            Ok(members) => self.append_members(members),
            Err(reason) => self.refuse(reason),
        }
    }

    fn members_after(
        &self,
        now: time::Instant,
        change: member_change::MemberChange,
    ) -> Result<member_set::MemberSet, refusal::Refusal> {
        let role::Role::Leader(leader) = &self.role else {
            return Err(refusal::Refusal::NotLeader);
        };
        if leader.transfer.is_some() {
            return Err(refusal::Refusal::NotLeader);
        }
        let required_commit = leader.first_index.max(self.members.current_index());
        if self.commit < required_commit {
            return Err(refusal::Refusal::ChangePending);
        }
        let members = self.members().clone();
        match change {
            member_change::MemberChange::AddLearner { id, peer, client } => {
                if id <= members.highest_id() {
                    return Err(refusal::Refusal::IdUsed);
                }
                let role = member_role::MemberRole::Learner;
                Ok(members.with(id, member::Member { role, peer, client }))
            }
            member_change::MemberChange::Promote { id } => {
                let Some(found) = members.get(id).copied() else {
                    return Err(refusal::Refusal::NoSuchMember);
                };
                if !self.is_caught_up(now, leader.progress.get(&id)) {
                    return Err(refusal::Refusal::NotCaughtUp);
                }
                let role = member_role::MemberRole::Voter;
                Ok(members.with(id, member::Member { role, ..found }))
            }
            member_change::MemberChange::Remove { id } => {
                if members.get(id).is_none() {
                    return Err(refusal::Refusal::NoSuchMember);
                }
                let remaining = members.without(id);
                if remaining.voters().next().is_none() {
                    return Err(refusal::Refusal::LastVoter);
                }
                Ok(remaining)
            }
        }
    }

    /// Returns whether the member is responsive and has synced every committed entry.
    fn is_caught_up(&self, now: time::Instant, progress: Option<&progress::Progress>) -> bool {
        let Some(progress) = progress else {
            return false;
        };
        self.is_responsive(now, progress) && progress.matched >= self.commit
    }

    fn append_members(&mut self, members: member_set::MemberSet) {
        let term = self.hard_state.term;
        let first = self.append(payload::Payload::Members(members));
        let next = self.log.last_index() + 1;
        let ids: Vec<_> = self.members().iter().map(|(id, _)| id).collect();
        let own = self.cfg.id;
        if let role::Role::Leader(leader) = &mut self.role {
            leader.progress.retain(|id, _| ids.contains(id));
            for id in ids.into_iter().filter(|id| *id != own) {
                let new = || progress::Progress::new(next);
                leader.progress.entry(id).or_insert_with(new);
            }
        }
        self.actions.push(action::Action::Appended { first, term });
    }

    /// Starts a leadership transfer to the responsive voter with the most entries. The transfer
    /// completes once the target has every entry.
    pub(crate) fn on_transfer_leadership(&mut self, now: time::Instant) {
        let role::Role::Leader(leader) = &self.role else {
            return;
        };
        let voters = self.members().voters();
        let followers = voters.filter_map(|id| leader.progress.get(&id).map(|p| (id, p)));
        let responsive = followers.filter(|(_, progress)| self.is_responsive(now, progress));
        let best = responsive.max_by_key(|(_, progress)| progress.matched);
        let Some((target, _)) = best else {
            return;
        };
        let until = now + self.cfg.timing.election_timeout;
        if let role::Role::Leader(leader) = &mut self.role {
            leader.transfer = Some((target, until));
        }
    }

    /// Returns whether the member has replied to a message that was sent within the last
    /// election timeout.
    pub(crate) fn is_responsive(&self, now: time::Instant, progress: &progress::Progress) -> bool {
        let last_contact = progress.last_contact;
        last_contact
            .is_some_and(|at| now.saturating_duration_since(at) < self.cfg.timing.election_timeout)
    }

    /// Steps down and requests that the target of a leadership transfer start an election, once
    /// the target has synced every entry. The lease ends here: it is not renewed in this term.
    pub(crate) fn finish_leadership_transfer(&mut self, now: time::Instant) {
        let role::Role::Leader(leader) = &self.role else {
            return;
        };
        let Some((target, _)) = leader.transfer else {
            return;
        };
        let progress = leader.progress.get(&target);
        let synced = progress.is_some_and(|p| p.matched == self.log.last_index());
        if !synced {
            return;
        }
        self.become_follower(now, None);
        self.send(target, message_body::MessageBody::TimeoutNow);
    }
}
