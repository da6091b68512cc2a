//! Follows which backend servers are cold.

use std::{cell, net, sync, time};

use crate::{server_limit, shared};

/// Selections that may meet a server whose last place another request has just taken.
const MAX_SELECTIONS: usize = 3;

type Selected = Result<sync::Arc<lift_dispatch::Backend>, lift_dispatch::SelectionError>;

impl shared::Shared {
    /// Counts the backend servers at `addresses` as cold from `now` on, for the time that a warm-up
    /// of their service takes or until an announcement says otherwise.
    pub(crate) fn mark_cold(&self, now: time::Instant, addresses: &[net::SocketAddr]) {
        self.cold_servers.mark(now, addresses);
        self.record_state_changes(now);
    }

    /// Takes in backend servers that have changed in `directory`, whose lock the caller holds: so
    /// records count in the order in which the directory takes them, and a server has its limit
    /// before it can be selected.
    pub(crate) fn announce_to_cold_servers(
        &self,
        now: time::Instant,
        directory: &lift_fleet::Directory,
        changed: &[lift_fleet::BackendRecord],
    ) {
        if let Some(table) = self.fleet.table() {
            self.configure_cold_servers(now, &table, directory);
        }
        self.cold_servers.announce(now, changed);
    }

    /// Applies the configuration in force and the gateways that are known.
    pub(crate) fn update_cold_servers(&self, now: time::Instant) {
        if let Some(table) = self.fleet.table() {
            self.apply_to_cold_servers(now, &table);
        }
    }

    /// Applies the configuration `table` and the gateways that are known.
    pub(crate) fn apply_to_cold_servers(
        &self,
        now: time::Instant,
        table: &lift_fleet::RoutingTable,
    ) {
        self.fleet
            .with_directory(|directory| self.configure_cold_servers(now, table, directory));
        self.record_state_changes(now);
    }

    /// Records an attempt at `backend` that failed.
    pub(crate) fn note_failure(
        &self,
        now: time::Instant,
        backend: &lift_dispatch::Backend,
        failure: lift_dispatch::AttemptFailure,
    ) {
        if failure.may_have_ended() {
            self.cold_servers.record_failure(now, backend.address);
        } else if failure != lift_dispatch::AttemptFailure::Silent {
            self.cold_servers.record_answer(now, backend.address);
        }
    }

    /// The score of the server at `address` if it may be cold. Sets `is_held_back` if it can't get
    /// the request for that reason.
    pub(crate) fn score_cold(
        &self,
        now: time::Instant,
        address: net::SocketAddr,
        score: lift_dispatch::BackendScore,
        is_held_back: &cell::Cell<bool>,
    ) -> lift_dispatch::BackendScore {
        let state = self.cold_servers.state(now, address);
        is_held_back.set(is_held_back.get() || state == lift_dispatch::ColdState::Full);
        score.with_cold(state)
    }

    /// Calls `select` and counts the request at the selected backend server, in case it is cold.
    /// Counts the selection if `is_held_back` is set by then.
    ///
    /// # Errors
    ///
    /// Returns the error of `select`, or [`lift_dispatch::SelectionError::Cold`] if other requests
    /// take the places of the servers that it selects.
    pub(crate) fn select_with_place(
        &self,
        now: time::Instant,
        is_held_back: &cell::Cell<bool>,
        select: impl Fn() -> Selected,
    ) -> Selected {
        let mut selected = Err(lift_dispatch::SelectionError::Cold);
        for _ in 0..MAX_SELECTIONS {
            let found = select();
            let has_place = found
                .as_ref()
                .map_or(true, |backend| self.cold_servers.take(now, backend.address));
            if has_place {
                selected = found;
                break;
            }
            is_held_back.set(true);
        }
        if is_held_back.get() {
            self.counters.increment("gateway.cold_held_back");
        }
        selected
    }

    /// Sets the limits of all servers, also of those in evacuated failure domains: these must have
    /// one before their failure domain is restored.
    fn configure_cold_servers(
        &self,
        now: time::Instant,
        table: &lift_fleet::RoutingTable,
        directory: &lift_fleet::Directory,
    ) {
        let announcements = directory.records().map(|record| &record.announcement);
        let known = announcements.filter(|known| known.state != lift_fleet::BackendState::Gone);
        let servers = known.map(|announcement| {
            let service = table.service(&announcement.service);
            let limit = service.and_then(|s| s.warmup).map(|warmup| {
                let limits = &self.limits;
                lift_dispatch::ColdLimit::new(&warmup, limits.cold_overage, limits.cold_slack)
            });
            server_limit::ServerLimit {
                address: announcement.address,
                region: self.fleet.region(&announcement.failure_domain),
                limit,
            }
        });
        self.cold_servers.configure(now, servers);
    }

    /// Counts and logs the servers that have become cold or warm.
    pub(crate) fn record_state_changes(&self, now: time::Instant) {
        for (address, is_cold, left) in self.cold_servers.compare(now) {
            if is_cold {
                self.counters.increment("gateway.servers_cold");
            }
            let message = match is_cold {
                true => "backend server cold",
                false => "backend server warm",
            };
            self.log.write_limited(|log| {
                slog::info!(log, "{}", message; "address" => address,
                    "left_ms" => left.map(|left| left.as_millis() as u64));
            });
        }
    }
}
