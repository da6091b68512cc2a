//! Follows which backend servers are cold.

use std::{cell, net, sync, time};

use crate::shared;

/// Selections that may meet a server whose last place another request has just taken.
const MAX_SELECTIONS: usize = 3;

type Selected = Result<sync::Arc<lift_dispatch::Backend>, lift_dispatch::SelectionError>;

impl shared::Shared {
    /// Counts the backend servers at `addresses` as cold from `now` on, for the time that a warm-up
    /// of their service takes or until an announcement says otherwise.
    pub(crate) fn mark_cold(&self, now: time::Instant, addresses: &[net::SocketAddr]) {
        self.cold_servers.mark(now, addresses);
        self.note_turned_servers(now);
    }

    /// Takes in backend servers that have changed.
    pub(crate) fn announce_to_cold_servers(
        &self,
        now: time::Instant,
        changed: &[lift_fleet::BackendRecord],
    ) {
        if !changed.is_empty() {
            self.configure_cold_servers(now);
            self.cold_servers.announce(now, changed);
            self.note_turned_servers(now);
        }
    }

    /// Applies the configuration and the gateways that are known.
    pub(crate) fn update_cold_servers(&self, now: time::Instant) {
        self.configure_cold_servers(now);
        self.note_turned_servers(now);
    }

    /// Records an attempt at `backend` that failed.
    pub(crate) fn note_failure(
        &self,
        now: time::Instant,
        backend: &lift_dispatch::Backend,
        failure: lift_dispatch::AttemptFailure,
    ) {
        if failure.may_have_ended() {
            self.cold_servers.lose(now, backend.address);
        } else if failure != lift_dispatch::AttemptFailure::Silent {
            self.cold_servers.reach(now, backend.address);
        }
    }

    /// Gives back the place of a request that was sent to `backend` at `sent_at`, if it does not
    /// count.
    pub(crate) fn give_place_back(
        &self,
        sent_at: time::Instant,
        backend: &lift_dispatch::Backend,
        failure: lift_dispatch::AttemptFailure,
    ) {
        if failure.is_uncounted() {
            self.cold_servers.give_back(sent_at, backend.address);
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

    fn configure_cold_servers(&self, now: time::Instant) {
        let Some(table) = self.fleet.table() else {
            return;
        };
        let backends = self.fleet.backends();
        for (service, backends) in backends.services() {
            let warmup = table.service(service).and_then(|s| s.warmup);
            let limit = warmup.map(|warmup| {
                let limits = &self.limits;
                lift_dispatch::ColdLimit::new(&warmup, limits.cold_overage, limits.cold_slack)
            });
            for backend in backends {
                self.cold_servers.configure(now, backend, limit);
            }
        }
    }

    fn note_turned_servers(&self, now: time::Instant) {
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
