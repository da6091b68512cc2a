//! The running entry.

use std::{net, sync, sync::atomic, time};

use crate::{entry_builder, live_agent, readiness, shared};

/// Time between two looks at the number of requests in progress while the entry drains.
const DRAIN_LOOK: time::Duration = time::Duration::from_millis(10);

/// Handle of an entry. Dropping it stops the tasks without a drain.
#[derive(Debug)]
pub struct Entry {
    shared: sync::Arc<shared::Shared>,
    http_addr: net::SocketAddr,
    heartbeat_addr: net::SocketAddr,
    closing: tokio_util::sync::CancellationToken,
    _guard: tokio_util::sync::DropGuard,
}

impl Entry {
    /// Starts to describe an entry.
    pub fn builder() -> entry_builder::EntryBuilder {
        entry_builder::EntryBuilder::new()
    }

    pub(crate) fn new(
        shared: sync::Arc<shared::Shared>,
        http_addr: net::SocketAddr,
        heartbeat_addr: net::SocketAddr,
        closing: tokio_util::sync::CancellationToken,
    ) -> Self {
        let guard = shared.stopped.clone().drop_guard();
        Self {
            shared,
            http_addr,
            heartbeat_addr,
            closing,
            _guard: guard,
        }
    }

    /// Address for callers.
    pub fn http_addr(&self) -> net::SocketAddr {
        self.http_addr
    }

    /// UDP address for heartbeats of agents.
    pub fn heartbeat_addr(&self) -> net::SocketAddr {
        self.heartbeat_addr
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.shared.admission.in_progress()
    }

    /// Counters of the entry.
    pub fn counters(&self) -> &sync::Arc<lift_obs::Counters> {
        &self.shared.counters
    }

    /// Live agents and what each serves.
    pub fn live_agents(&self) -> Vec<live_agent::LiveAgent> {
        self.shared.directory.live_agents()
    }

    /// Live agents that exchange chunks. Those that leave are included until they are gone.
    pub fn swarm_peers(&self) -> Vec<lift_transfer::SwarmPeer> {
        let agents = self.shared.directory.live_agents();
        agents.into_iter().filter_map(|agent| agent.peer).collect()
    }

    /// Tells the platform that this entry takes no new work, refuses it, completes the
    /// requests in progress and stops. Returns the number of requests that were cut off
    /// because `limit` ran out.
    pub async fn stop(&self, limit: time::Duration) -> usize {
        let started = tokio::time::Instant::now();
        let ends_at = started + limit;
        let notice_ends = started + self.shared.limits.drain_notice;
        self.shared
            .is_draining
            .store(true, atomic::Ordering::Release);
        let not_ready = lift_border::Readiness::NotReady;
        let told = readiness::tell(&self.shared, not_ready, None);
        let _ = tokio::time::timeout_at(ends_at, told).await;
        // New connections are accepted and refused with a reason until the last request has
        // ended; a closed port would leave callers in doubt.
        while self.in_progress() > 0 && tokio::time::Instant::now() < ends_at {
            tokio::time::sleep(DRAIN_LOOK).await;
        }
        let left = self.in_progress();
        tokio::time::sleep_until(notice_ends.min(ends_at)).await;
        self.closing.cancel();
        let _ = tokio::time::timeout_at(ends_at, self.shared.stopped.cancelled()).await;
        self.shared.stopped.cancel();
        left
    }
}
