//! Periodic maintenance of the directory of backend servers.

use std::{sync, time};

use crate::registry;

/// Interval between two runs. It delays the relay of heartbeats to the other members, so it must
/// be well below the heartbeat timeout.
const MAINTENANCE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Relays heartbeats to the other members and marks silent backend servers.
pub(crate) async fn run(
    registry: sync::Arc<registry::Registry>,
    heartbeat_timeout: time::Duration,
) {
    let mut quorum_since = None;
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        let refreshed = std::mem::take(&mut *registry.refreshed.lock());
        if !refreshed.is_empty()
            && let Some(feed) = registry.feed()
        {
            feed.relay_heartbeats(refreshed);
        }
        // A member without a quorum receives few heartbeats. It marks none as silent until it has
        // been able to reach a quorum for a full heartbeat timeout.
        let now = lift_clock::now();
        if !registry.current_log.can_reach_quorum() {
            quorum_since = None;
            continue;
        }
        let since = *quorum_since.get_or_insert(now);
        if now.saturating_duration_since(since) > heartbeat_timeout {
            let changed = registry.directory.lock().expire(now, heartbeat_timeout);
            registry.push_backends(changed);
        }
    }
}
