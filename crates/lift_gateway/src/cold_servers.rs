//! Backend servers that may be cold.

use std::{net, sync, time};

use sync::atomic;

use crate::{known_share, server_limit};

/// Number of shards. More than the worker threads, to reduce lock contention.
const SHARDS: usize = 16;

/// Time for which a server that is no longer known is kept, so that requests to an earlier process
/// at its address count.
const RETAIN_FOR: time::Duration = time::Duration::from_secs(60);

/// Time from the first list of servers until an unknown server counts as started during traffic.
/// The lists of all control members arrive within it.
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
    /// Number of changes by which a server may have become cold.
    changes: atomic::AtomicU64,
    /// Value of `changes` before the last comparison that found no cold server. While both are
    /// equal, selections take no lock here.
    changes_without_cold: atomic::AtomicU64,
}

#[derive(Debug)]
struct Entry {
    server: lift_dispatch::ColdServer,
    listed_at: time::Instant,
    /// Whether it was cold when it was last compared.
    was_cold: bool,
    /// `None` if its service has no warm-up.
    known_share: Option<known_share::KnownShare>,
}

impl ColdServers {
    /// `serving` is the time for which a gateway goes on without control.
    pub(crate) fn new(own: &lift_types::Location, serving: time::Duration) -> Self {
        let hold_time = MIN_HOLD_TIME.max(serving.saturating_mul(2));
        Self {
            shards: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            shares: parking_lot::Mutex::new(lift_dispatch::ColdShares::new(own, hold_time)),
            first_list_at: sync::OnceLock::new(),
            changes: atomic::AtomicU64::new(0),
            changes_without_cold: atomic::AtomicU64::new(0),
        }
    }

    /// What may be sent to the server at `address` now.
    pub(crate) fn state(
        &self,
        now: time::Instant,
        address: net::SocketAddr,
    ) -> lift_dispatch::ColdState {
        if !self.may_be_cold() {
            return lift_dispatch::ColdState::Warm;
        }
        self.shards
            .with(&address, |entries| match entries.get(&address) {
                Some(entry) => entry.server.state(now),
                None => lift_dispatch::ColdState::Warm,
            })
    }

    /// Counts a request that is sent to the server at `address`. Returns `false` if this gateway
    /// has used its share.
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

    /// Counts a request that was taken at `taken_at` as sent at `now`.
    pub(crate) fn update_send_time(
        &self,
        taken_at: time::Instant,
        now: time::Instant,
        address: net::SocketAddr,
    ) {
        self.change(address, |server| server.update_send_time(taken_at, now));
    }

    /// Records that the server at `address` could not be reached at `now` or has ended.
    pub(crate) fn record_failure(&self, now: time::Instant, address: net::SocketAddr) {
        self.change(address, |server| server.record_failure(now));
        self.record_change();
    }

    /// Records an answer of the server at `address`.
    pub(crate) fn record_answer(&self, now: time::Instant, address: net::SocketAddr) {
        if self.may_be_cold() {
            self.change(address, |server| server.record_answer(now));
        }
    }

    /// Counts the servers at `addresses` as cold from `now` on.
    pub(crate) fn mark(&self, now: time::Instant, addresses: &[net::SocketAddr]) {
        for address in addresses {
            self.update(now, *address, |server| server.mark(now));
        }
        self.record_change();
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
        self.record_change();
    }

    /// Records the gateways that are known.
    pub(crate) fn record_gateways(&self, now: time::Instant, gateways: &[lift_types::Location]) {
        self.shares.lock().record(now, gateways);
    }

    /// Sets the limits of `servers`, and the shares of this gateway where they may have changed.
    pub(crate) fn configure<'a>(
        &self,
        now: time::Instant,
        servers: impl Iterator<Item = server_limit::ServerLimit<'a>>,
    ) {
        // Held until all are set, so that no thread writes older shares after newer ones.
        let mut shares = self.shares.lock();
        let revision = shares.update(now);
        for server in servers {
            self.update_entry(now, server.address, |entry| {
                let known = entry.known_share.take();
                entry.known_share = server.limit.map(|limit| {
                    let valid = known.filter(|known| known.is_valid(revision, &server));
                    valid.unwrap_or_else(|| known_share::KnownShare {
                        revision,
                        region: server.region.map(String::from),
                        limit,
                        share: limit.requests.map_or(u32::MAX, |requests| {
                            shares.share(now, server.address, server.region, requests)
                        }),
                    })
                });
                let share = entry.known_share.as_ref().map_or(0, |known| known.share);
                entry.server.configure(server.limit, share);
            });
        }
    }

    /// Removes servers that are no longer listed. Returns those that have become cold or warm since
    /// the last call, with the time for which they stay cold if it is known.
    pub(crate) fn compare(
        &self,
        now: time::Instant,
    ) -> Vec<(net::SocketAddr, bool, Option<time::Duration>)> {
        // Read before the comparison, so that a server that becomes cold meanwhile is not
        // overlooked.
        let changes = self.changes.load(atomic::Ordering::Acquire);
        let mut changed = Vec::new();
        let mut any_cold = false;
        self.shards.for_each(|entries| {
            entries.retain(|_, entry| now.saturating_duration_since(entry.listed_at) < RETAIN_FOR);
            for (address, entry) in entries {
                let is_cold = entry.server.state(now) != lift_dispatch::ColdState::Warm;
                any_cold |= is_cold;
                if std::mem::replace(&mut entry.was_cold, is_cold) != is_cold {
                    changed.push((*address, is_cold, entry.server.cold_left(now)));
                }
            }
        });
        match any_cold {
            // A server may also have become cold by its limit.
            true if !self.may_be_cold() => self.record_change(),
            true => {}
            false => self
                .changes_without_cold
                .store(changes, atomic::Ordering::Release),
        }
        changed
    }

    fn may_be_cold(&self) -> bool {
        let without_cold = self.changes_without_cold.load(atomic::Ordering::Acquire);
        self.changes.load(atomic::Ordering::Acquire) != without_cold
    }

    fn record_change(&self) {
        self.changes.fetch_add(1, atomic::Ordering::AcqRel);
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
        self.update_entry(now, address, |entry| update(&mut entry.server));
    }

    fn update_entry(
        &self,
        now: time::Instant,
        address: net::SocketAddr,
        update: impl FnOnce(&mut Entry),
    ) {
        self.shards.with(&address, |entries| {
            let entry = entries.entry(address).or_insert_with(|| Entry {
                server: lift_dispatch::ColdServer::default(),
                listed_at: now,
                was_cold: false,
                known_share: None,
            });
            entry.listed_at = now;
            update(entry);
        });
    }
}
