//! Notices that the origin of weights is away, and that it is back.

use std::{net, sync, time};

use crate::{link_patience, origin_port, shared};

/// What an agent knows of the origin.
#[derive(Debug)]
pub(crate) struct OriginMonitor {
    origin: sync::Arc<dyn origin_port::OriginPort>,
    watch: parking_lot::Mutex<lift_transfer::OriginWatch>,
    /// Held during a check, so that reads that time out together lead to one connection.
    checking: tokio::sync::Mutex<()>,
    log: slog::Logger,
    counters: sync::Arc<lift_obs::Counters>,
}

impl OriginMonitor {
    pub(crate) fn new(
        origin: sync::Arc<dyn origin_port::OriginPort>,
        log: slog::Logger,
        counters: sync::Arc<lift_obs::Counters>,
    ) -> Self {
        Self {
            origin,
            watch: parking_lot::Mutex::default(),
            checking: tokio::sync::Mutex::default(),
            log,
            counters,
        }
    }

    /// Whether the origin may be read.
    pub(crate) fn answers(&self) -> bool {
        self.watch.lock().answers()
    }

    /// Records that a read was answered.
    pub(crate) fn record_answer(&self) {
        self.watch.lock().record_answer();
    }

    /// Records that a read failed. Returns whether the origin counts as away only from now on.
    /// Behind a congested link it may only seem to be away, and is read on.
    pub(crate) fn record_failure(&self, patience: link_patience::LinkPatience) -> bool {
        if !patience.may_suspect {
            return false;
        }
        let is_new = self.watch.lock().record_failure(lift_clock::now());
        if is_new {
            self.counters.increment("agent.origin_away");
            slog::info!(self.log, "origin of weights away");
        }
        is_new
    }

    /// Finds out whether the origin accepts connections.
    pub(crate) async fn check(&self, shared: &shared::Shared, origin: net::SocketAddr) {
        match (self.check_reached(shared, origin).await, self.answers()) {
            (Some(true), false) => {
                self.record_reached();
            }
            (Some(false), true) => {
                self.record_failure(shared.link_patience());
            }
            _ => {}
        }
    }

    /// Whether the origin accepts a connection now, or `None` if another check is in progress.
    pub(crate) async fn check_reached(
        &self,
        shared: &shared::Shared,
        origin: net::SocketAddr,
    ) -> Option<bool> {
        let _checking = self.checking.try_lock().ok()?;
        Some(self.is_reached(shared, origin).await)
    }

    /// Whether the origin accepts a connection now.
    async fn is_reached(&self, shared: &shared::Shared, origin: net::SocketAddr) -> bool {
        self.counters.increment("agent.origin_probes");
        let reaching = self.origin.reach(origin);
        shared::within(shared.link_patience().probe, reaching)
            .await
            .is_ok()
    }

    /// Probes the origin until it accepts a connection, and returns for how long it was away.
    pub(crate) async fn wait_until_back(
        &self,
        shared: &shared::Shared,
        origin: net::SocketAddr,
    ) -> time::Duration {
        let pause = self.watch.lock().first_probe(&mut rand::rng());
        tokio::time::sleep(pause).await;
        while !self.is_reached(shared, origin).await {
            let pause = {
                let watch = self.watch.lock();
                watch.next_probe(lift_clock::now(), &mut rand::rng())
            };
            tokio::time::sleep(pause).await;
        }
        self.record_reached()
    }

    /// Records that the origin accepts connections, and returns for how long it was away.
    fn record_reached(&self) -> time::Duration {
        let (was_away, away_for) = {
            let mut watch = self.watch.lock();
            (!watch.answers(), watch.record_reached(lift_clock::now()))
        };
        if was_away {
            let away_ms = away_for.as_millis() as u64;
            slog::info!(self.log, "origin of weights back"; "away_ms" => away_ms);
        }
        away_for
    }
}
