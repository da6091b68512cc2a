//! Requests that this entry has in flight at each host.

use std::sync;

/// Number of shards of the counts.
const SHARDS: usize = 32;

/// Number of requests that this entry has in flight, by host.
#[derive(Debug)]
pub(crate) struct HostLoads {
    counts: lift_shard::Shards<indexmap::IndexMap<lift_types::HostId, u32>>,
}

/// Counts one request in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct HostLoadGuard {
    loads: sync::Arc<HostLoads>,
    host: lift_types::HostId,
}

impl HostLoads {
    pub(crate) fn new() -> Self {
        Self {
            counts: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
        }
    }

    pub(crate) fn in_flight(&self, host: lift_types::HostId) -> u32 {
        let found = self.counts.with(&host, |counts| counts.get(&host).copied());
        found.unwrap_or_default()
    }

    pub(crate) fn add(self: &sync::Arc<Self>, host: lift_types::HostId) -> HostLoadGuard {
        self.counts
            .with(&host, |counts| *counts.entry(host).or_default() += 1);
        HostLoadGuard {
            loads: sync::Arc::clone(self),
            host,
        }
    }
}

impl Drop for HostLoadGuard {
    fn drop(&mut self) {
        self.loads.counts.with(&self.host, |counts| {
            let Some(count) = counts.get_mut(&self.host) else {
                return;
            };
            *count -= 1;
            if *count == 0 {
                counts.swap_remove(&self.host);
            }
        });
    }
}
