//! Upkeep of the control members.

use std::{sync, time};

use crate::registry;

/// Time between two looks at the members.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Makes the changes that are due while this member leads, and tells nodes about changes.
pub(crate) async fn run(registry: sync::Arc<registry::Registry>) {
    let mut told = None;
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let source: &dyn lift_feed::FeedSource = &*registry;
        let members = source.members();
        if !members.0.is_empty() && told.as_ref() != Some(&members) {
            if let Some(feed) = registry.feed() {
                feed.push_members(members.0.clone(), members.1);
            }
            told = Some(members);
        }
        keep(&registry).await;
    }
}

async fn keep(registry: &registry::Registry) {
    let Ok((log, since)) = registry.slot.leading() else {
        return;
    };
    let has_looked = lift_clock::now().saturating_duration_since(since) > registry::LOST_AFTER;
    let status = log.members();
    let mut statuses = registry.member_statuses(&status);
    if !has_looked {
        // A new leader has heard from few members; only learners can be judged.
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
