//! Periodic maintenance of the set of control members.

use std::{sync, time};

use crate::registry;

/// Interval between two checks of the members.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Pushes changes of the members to all nodes and, while this member leads, makes the member
/// changes that are due.
pub(crate) async fn run(registry: sync::Arc<registry::Registry>) {
    let mut last_pushed = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let source: &dyn lift_feed::FeedSource = &*registry;
        let members = source.members();
        if !members.0.is_empty() && last_pushed.as_ref() != Some(&members) {
            if let Some(feed) = registry.feed() {
                feed.push_members(members.0.clone(), members.1);
            }
            last_pushed = Some(members);
        }
        apply_due_change(&registry).await;
    }
}

async fn apply_due_change(registry: &registry::Registry) {
    let Ok((log, since)) = registry.current_log.leader_log() else {
        return;
    };
    let has_observed_voters =
        lift_clock::now().saturating_duration_since(since) > registry::RESPONSE_TIMEOUT;
    let status = log.members();
    let mut statuses = registry.member_statuses(&status);
    if !has_observed_voters {
        // A new leader has not yet received answers from all members, so no voter counts as lost.
        // Learners can already be promoted.
        statuses
            .iter_mut()
            .filter(|s| s.is_voter)
            .for_each(|s| s.is_responsive = true);
    }
    let change = match lift_fleet::MembershipAction::next_due(&statuses) {
        Some(lift_fleet::MembershipAction::Promote(id)) => {
            lift_consensus::MemberChange::Promote { id }
        }
        Some(lift_fleet::MembershipAction::Remove(id)) => {
            lift_consensus::MemberChange::Remove { id }
        }
        Some(lift_fleet::MembershipAction::Add) | None => return,
    };
    let changed = log.change_member(change).await;
    let error = changed.err().map(|e| e.to_string()).unwrap_or_default();
    slog::info!(registry.node.log, "members changed"; "change" => ?change, "error" => error);
}
