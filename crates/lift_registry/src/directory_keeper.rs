//! Upkeep of the directory.

use std::{sync, time};

use crate::registry;

/// Time between two rounds. Heartbeats are relayed to the other members with this delay, well
/// below the time after which a backend server counts as silent.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Relays heartbeats to the other members and marks backend servers that are silent.
pub(crate) async fn run(registry: sync::Arc<registry::Registry>, silence: time::Duration) {
    let mut in_touch_since = None;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let refreshed = std::mem::take(&mut *registry.refreshed.lock());
        if !refreshed.is_empty()
            && let Some(feed) = registry.feed()
        {
            feed.relay_heartbeats(refreshed);
        }
        // A member that is cut off, or was until lately, hears of few backend servers.
        let now = lift_clock::now();
        if !registry.slot.is_in_touch() {
            in_touch_since = None;
            continue;
        }
        let since = *in_touch_since.get_or_insert(now);
        if now.saturating_duration_since(since) > silence {
            let changed = registry.directory.lock().expire(now, silence);
            registry.push(changed);
        }
    }
}
