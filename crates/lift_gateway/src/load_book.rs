//! Loads of backend servers.

use std::{net, time};

/// Number of shards. More than the worker threads, so that they seldom meet.
const SHARDS: usize = 16;

/// What this gateway knows of the load of each backend server, in shards by its address.
#[derive(Debug)]
pub(crate) struct LoadBook {
    shards: lift_shard::Shards<indexmap::IndexMap<net::SocketAddr, lift_dispatch::BackendLoad>>,
}

impl LoadBook {
    pub(crate) fn new() -> Self {
        Self {
            shards: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
        }
    }

    /// Reads the load of one.
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

    /// Changes the load of one.
    pub(crate) fn change<R>(
        &self,
        address: net::SocketAddr,
        change: impl FnOnce(&mut lift_dispatch::BackendLoad) -> R,
    ) -> R {
        self.shards
            .with(&address, |loads| change(loads.entry(address).or_default()))
    }

    /// Drops records without content.
    pub(crate) fn tidy(&self, now: time::Instant) {
        self.shards
            .for_each(|loads| loads.retain(|_, load| !load.is_idle(now)));
    }
}
