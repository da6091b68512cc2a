//! The running entry.

use std::{net, sync, sync::atomic, time};

use crate::{drain_error, entry_builder, live_agent, readiness, shared};

/// Time between two looks at what a drain waits for.
const DRAIN_LOOK: time::Duration = time::Duration::from_millis(10);

/// Longest wait for a heartbeat that confirms that an agent leaves.
const DRAIN_CONFIRM: time::Duration = time::Duration::from_secs(2);

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

    /// Makes the agent on a host refuse new work for good, and waits until its heartbeats
    /// confirm it. Requests in progress run on.
    ///
    /// # Errors
    ///
    /// Returns an error where the host is not known or did not confirm within 2 s.
    pub async fn drain(&self, host: lift_types::HostId) -> Result<(), drain_error::DrainError> {
        let report = self.shared.directory.find(host);
        let report = report.ok_or(drain_error::DrainError::UnknownHost(host))?;
        let unconfirmed = drain_error::DrainError::Unconfirmed(host);
        let link = self
            .shared
            .links
            .get(host, report.incarnation, report.call_addr)
            .await
            .ok_or(unconfirmed)?;
        link.notify(lift_wire::CallMessage::Leave);
        let confirmed = async {
            while !self.is_leaving(host) {
                tokio::time::sleep(DRAIN_LOOK).await;
            }
        };
        tokio::time::timeout(DRAIN_CONFIRM, confirmed)
            .await
            .map_err(|_| unconfirmed)
    }

    fn is_leaving(&self, host: lift_types::HostId) -> bool {
        let report = self.shared.directory.find(host);
        report.is_some_and(|report| report.state == lift_types::HostState::Leaving)
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
