//! Provides the state of a member to the feed.

use std::sync;

use crate::registry;

/// Maximum number of member changes for one join request.
const MAX_MEMBER_CHANGES: usize = 4;

#[async_trait::async_trait]
impl lift_feed::FeedSource for registry::Registry {
    fn members(&self) -> (Vec<lift_feed::MemberCard>, lift_types::MemberId) {
        let Some(log) = self.current_log.get() else {
            return (Vec::new(), 0);
        };
        let status = log.members();
        let members = status.members;
        let card =
            |(id, member): (lift_types::MemberId, &lift_consensus::Member)| lift_feed::MemberCard {
                id,
                feed: self.node.ports.feed(member.peer.ip()),
                control: member.client,
            };
        let highest = match status.is_committed {
            true => members.highest_id(),
            false => 0,
        };
        (members.iter().map(card).collect(), highest)
    }

    fn head(&self) -> lift_feed::FleetHead {
        self.state_machine.head()
    }

    fn document(&self) -> Option<sync::Arc<lift_fleet::Document>> {
        self.state_machine.document()
    }

    fn backends(&self) -> Vec<lift_fleet::BackendRecord> {
        self.directory.lock().records().cloned().collect()
    }

    fn confirm(&self) -> Option<lift_feed::Confirmation> {
        // Read within one leadership: a member that has just begun to lead applies the commands
        // that an earlier leader acknowledged before it may confirm.
        let (_, leads_since) = self.current_log.leader_log().ok()?;
        let confirmation = self.state_machine.confirmation();
        let (_, still_since) = self.current_log.leader_log().ok()?;
        let is_confirmed =
            leads_since == still_since && self.state_machine.unreadable_commands() == 0;
        is_confirmed.then_some(confirmation)
    }

    async fn join(&self, request: lift_feed::Newcomer) -> lift_feed::JoinAnswer {
        let _guard = self.join_lock.lock().await;
        for _ in 0..MAX_MEMBER_CHANGES {
            let Ok((log, _)) = self.current_log.leader_log() else {
                let leader = self.current_log.other_leader();
                let feed = leader.map(|address| self.node.ports.feed(address.ip()));
                return lift_feed::JoinAnswer::Elsewhere(feed);
            };
            let status = log.members();
            let statuses = self.member_statuses(&status);
            let action = lift_fleet::MembershipAction::for_join_request(&statuses, request.peer);
            let id = status.members.highest_id() + 1;
            let change = match action {
                lift_fleet::MembershipAction::Remove(id) => {
                    lift_consensus::MemberChange::Remove { id }
                }
                _ => lift_consensus::MemberChange::AddLearner {
                    id,
                    peer: request.peer,
                    client: request.control,
                },
            };
            let changed = log.change_member(change).await;
            let error = changed.as_ref().err().map(ToString::to_string);
            slog::info!(self.node.log, "members changed for a join request";
                "change" => ?change, "error" => error.unwrap_or_default());
            match (changed, change) {
                (Ok(()), lift_consensus::MemberChange::AddLearner { id, .. }) => {
                    return lift_feed::JoinAnswer::Joined(id);
                }
                (Ok(()), _) => {}
                (Err(_), _) => return lift_feed::JoinAnswer::Later,
            }
        }
        lift_feed::JoinAnswer::Later
    }
}
