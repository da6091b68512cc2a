//! Own requests in flight at each host.

use std::sync;

/// Number of shards.
const SHARDS: usize = 32;

/// Counts of requests that this entry has in flight, by host.
#[derive(Debug)]
pub(crate) struct HostLoads {
    counts: lift_shard::Shards<indexmap::IndexMap<lift_types::HostId, u32>>,
}

/// One request in flight. Dropping it ends the count.
#[derive(Debug)]
pub(crate) struct HostLoad {
    loads: sync::Arc<HostLoads>,
    host: lift_types::HostId,
}

impl HostLoads {
    pub(crate) fn new() -> Self {
        Self {
            counts: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
        }
    }

    pub(crate) fn at(&self, host: lift_types::HostId) -> u32 {
        let found = self.counts.with(&host, |counts| counts.get(&host).copied());
        found.unwrap_or_default()
    }

    pub(crate) fn add(self: &sync::Arc<Self>, host: lift_types::HostId) -> HostLoad {
        self.counts
            .with(&host, |counts| *counts.entry(host).or_default() += 1);
        HostLoad {
            loads: sync::Arc::clone(self),
            host,
        }
    }
}

impl Drop for HostLoad {
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
