//! Backend servers that may be cold.

use std::{net, sync, time};

use sync::atomic;

/// Number of shards. More than the worker threads, to reduce lock contention.
const SHARDS: usize = 16;

/// Time for which a server that accepts no requests is kept, so that it does not count as new when
/// it accepts them again.
const RETAIN_FOR: time::Duration = time::Duration::from_secs(60);

/// Time from the first list of servers until an unknown server counts as started during traffic. The
/// lists of all control members arrive within it.
const START_TIME: time::Duration = time::Duration::from_secs(3);

/// Shortest time for which a gateway that is no longer listed keeps its share. The same as for the
/// parts of the retry budget.
const MIN_HOLD_TIME: time::Duration = time::Duration::from_secs(20);

type Entries = indexmap::IndexMap<net::SocketAddr, Entry>;

/// Warm-up of each backend server as this gateway knows it, sharded by address.
#[derive(Debug)]
pub(crate) struct ColdServers {
    shards: lift_shard::Shards<Entries>,
    /// Taken when the list of gateways or of servers changes and every half second, not for each
    /// request.
    shares: parking_lot::Mutex<lift_dispatch::ColdShares>,
    first_list_at: sync::OnceLock<time::Instant>,
    /// Whether any server may be cold. Without one, selections take no lock here.
    may_be_cold: atomic::AtomicBool,
}

#[derive(Debug)]
struct Entry {
    server: lift_dispatch::ColdServer,
    listed_at: time::Instant,
    /// Whether it was cold when it was last compared.
    was_cold: bool,
}

impl ColdServers {
    /// `serving` is the time for which a gateway goes on without control.
    pub(crate) fn new(own: &lift_types::Location, serving: time::Duration) -> Self {
        let hold_time = MIN_HOLD_TIME.max(serving.saturating_mul(2));
        Self {
            shards: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            shares: parking_lot::Mutex::new(lift_dispatch::ColdShares::new(own, hold_time)),
            first_list_at: sync::OnceLock::new(),
            may_be_cold: atomic::AtomicBool::new(false),
        }
    }

    /// What may be sent to the server at `address` now.
    pub(crate) fn state(
        &self,
        now: time::Instant,
        address: net::SocketAddr,
    ) -> lift_dispatch::ColdState {
        if !self.may_be_cold.load(atomic::Ordering::Acquire) {
            return lift_dispatch::ColdState::Warm;
        }
        self.shards
            .with(&address, |entries| match entries.get(&address) {
                Some(entry) => entry.server.state(now),
                None => lift_dispatch::ColdState::Warm,
            })
    }

    /// Counts a request that is sent to the server at `address`. Returns `false` if this gateway has
    /// used its share.
    pub(crate) fn take(&self, now: time::Instant, address: net::SocketAddr) -> bool {
        self.shards
            .with(&address, |entries| match entries.get_mut(&address) {
                Some(entry) => entry.server.take(now),
                None => true,
            })
    }

    /// Gives back the place of a request that was sent at `sent_at` and does not count.
    pub(crate) fn give_back(&self, sent_at: time::Instant, address: net::SocketAddr) {
        self.change(address, |server| server.give_back(sent_at));
    }

    /// Records that the server at `address` could not be reached at `now` or has ended.
    pub(crate) fn lose(&self, now: time::Instant, address: net::SocketAddr) {
        self.change(address, |server| server.lose(now));
        self.may_be_cold.store(true, atomic::Ordering::Release);
    }

    /// Records an answer of the server at `address`.
    pub(crate) fn reach(&self, now: time::Instant, address: net::SocketAddr) {
        if self.may_be_cold.load(atomic::Ordering::Acquire) {
            self.change(address, |server| server.reach(now));
        }
    }

    /// Counts the servers at `addresses` as cold from `now` on.
    pub(crate) fn mark(&self, now: time::Instant, addresses: &[net::SocketAddr]) {
        for address in addresses {
            self.change(*address, |server| server.mark(now));
        }
        self.may_be_cold.store(true, atomic::Ordering::Release);
    }

    /// Takes in records that have changed.
    pub(crate) fn announce(&self, now: time::Instant, records: &[lift_fleet::BackendRecord]) {
        let first = *self.first_list_at.get_or_init(|| now);
        let was_running = now.saturating_duration_since(first) >= START_TIME;
        for record in records {
            let address = record.announcement.address;
            let is_gone = record.announcement.state == lift_fleet::BackendState::Gone;
            if !is_gone {
                self.update(now, address, |server| {
                    server.announce(now, record, was_running);
                });
            }
        }
        self.may_be_cold.store(true, atomic::Ordering::Release);
    }

    /// Records the gateways that are known.
    pub(crate) fn record_gateways(&self, now: time::Instant, gateways: &[lift_types::Location]) {
        self.shares.lock().record(now, gateways);
    }

    /// Sets the limit of a server that accepts requests, `None` if its service has no warm-up.
    pub(crate) fn configure(
        &self,
        now: time::Instant,
        backend: &lift_dispatch::Backend,
        limit: Option<lift_dispatch::ColdLimit>,
    ) {
        let region = backend.region.as_deref();
        let address = backend.address;
        let share = limit.map_or(0, |limit| {
            let shares = self.shares.lock();
            shares.share(now, address, region, limit.requests)
        });
        self.update(now, address, |server| server.configure(limit, share));
    }

    /// Removes servers that are no longer listed. Returns those that have turned cold or warm since
    /// the last call, with the time for which they stay cold if it is known.
    pub(crate) fn compare(
        &self,
        now: time::Instant,
    ) -> Vec<(net::SocketAddr, bool, Option<time::Duration>)> {
        // Before the comparison: a server that turns cold meanwhile sets it again.
        self.may_be_cold.store(false, atomic::Ordering::Release);
        let mut turned = Vec::new();
        let mut any_cold = false;
        self.shards.for_each(|entries| {
            entries.retain(|_, entry| now.saturating_duration_since(entry.listed_at) < RETAIN_FOR);
            for (address, entry) in entries {
                let is_cold = entry.server.state(now) != lift_dispatch::ColdState::Warm;
                any_cold |= is_cold;
                if std::mem::replace(&mut entry.was_cold, is_cold) != is_cold {
                    turned.push((*address, is_cold, entry.server.cold_left(now)));
                }
            }
        });
        if any_cold {
            self.may_be_cold.store(true, atomic::Ordering::Release);
        }
        turned
    }

    /// Changes a server that is listed.
    fn change(
        &self,
        address: net::SocketAddr,
        change: impl FnOnce(&mut lift_dispatch::ColdServer),
    ) {
        self.shards.with(&address, |entries| {
            if let Some(entry) = entries.get_mut(&address) {
                change(&mut entry.server);
            }
        });
    }

    /// Changes a server that is listed at `now`, which is added if necessary.
    fn update(
        &self,
        now: time::Instant,
        address: net::SocketAddr,
        update: impl FnOnce(&mut lift_dispatch::ColdServer),
    ) {
        self.shards.with(&address, |entries| {
            let entry = entries.entry(address).or_insert_with(|| Entry {
                server: lift_dispatch::ColdServer::default(),
                listed_at: now,
                was_cold: false,
            });
            entry.listed_at = now;
            update(&mut entry.server);
        });
    }
}
