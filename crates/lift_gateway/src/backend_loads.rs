//! Loads of backend servers.

use std::{net, time};

/// Number of shards. More than the worker threads, to reduce lock contention.
const SHARDS: usize = 16;

/// Load of each backend server as seen by this gateway, sharded by address.
#[derive(Debug)]
pub(crate) struct BackendLoads {
    shards: lift_shard::Shards<indexmap::IndexMap<net::SocketAddr, lift_dispatch::BackendLoad>>,
}

impl BackendLoads {
    pub(crate) fn new() -> Self {
        Self {
            shards: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
        }
    }

    /// Calls `read` with the load of one backend server, or with an empty load if there is no
    /// record of it.
    pub(crate) fn read<R>(
        &self,
        address: net::SocketAddr,
        read: impl FnOnce(&lift_dispatch::BackendLoad) -> R,
    ) -> R {
        self.shards
            .with(&address, |loads| match loads.get(&address) {
                Some(load) => read(load),
                None => read(&lift_dispatch::BackendLoad::default()),
            })
    }

    /// Calls `update` with the load of one backend server, which is created if necessary.
    pub(crate) fn update<R>(
        &self,
        address: net::SocketAddr,
        update: impl FnOnce(&mut lift_dispatch::BackendLoad) -> R,
    ) -> R {
        self.shards
            .with(&address, |loads| update(loads.entry(address).or_default()))
    }

    /// Removes the records that hold no information at `now`.
    pub(crate) fn remove_idle(&self, now: time::Instant) {
        self.shards
            .for_each(|loads| loads.retain(|_, load| !load.is_idle(now)));
    }
}
