//! Handle of a running entry.

use std::{net, sync, sync::atomic, time};

use crate::{drain_error, entry_builder, live_agent, readiness, shared};

/// Interval at which a drain checks whether it is complete.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Maximum time to wait for the heartbeat that confirms that an agent is leaving.
const DRAIN_CONFIRM_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time before the end of a graceful stop in which callers get their last answers.
const LAST_ANSWER_TIME: time::Duration = time::Duration::from_millis(100);

/// Handle of a running entry. Dropping it stops the entry without a drain.
#[derive(Debug)]
pub struct Entry {
    shared: sync::Arc<shared::Shared>,
    http_addr: net::SocketAddr,
    heartbeat_addr: net::SocketAddr,
    closing: tokio_util::sync::CancellationToken,
    _guard: tokio_util::sync::DropGuard,
}

impl Entry {
    /// Creates a builder with the default limits.
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

    /// Address on which callers are served.
    pub fn http_addr(&self) -> net::SocketAddr {
        self.http_addr
    }

    /// UDP address on which heartbeats of agents are received.
    pub fn heartbeat_addr(&self) -> net::SocketAddr {
        self.heartbeat_addr
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.shared.admission.in_progress()
    }

    /// Counters of the entry.
    pub fn counters(&self) -> &sync::Arc<lift_obs::Counters> {
        &self.shared.counters
    }

    /// Live agents according to their latest heartbeats.
    pub fn live_agents(&self) -> Vec<live_agent::LiveAgent> {
        self.shared.directory.live_agents()
    }

    /// Live agents that exchange chunks, including those that are leaving.
    pub fn swarm_peers(&self) -> Vec<lift_transfer::SwarmPeer> {
        let agents = self.shared.directory.live_agents();
        agents.into_iter().filter_map(|agent| agent.peer).collect()
    }

    /// Makes the agent on a host refuse new requests permanently, and waits until its heartbeats
    /// confirm it. Requests in progress continue.
    ///
    /// # Errors
    ///
    /// Returns an error if no live agent on the host is known, if it can't be reached, or if it
    /// does not confirm within 2 s.
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
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(DRAIN_CONFIRM_TIMEOUT, confirmed)
            .await
            .map_err(|_| unconfirmed)
    }

    fn is_leaving(&self, host: lift_types::HostId) -> bool {
        let report = self.shared.directory.find(host);
        report.is_some_and(|report| report.state == lift_types::HostState::Leaving)
    }

    /// Drains and stops the entry: reports to the platform that it is not ready, refuses new
    /// requests and completes those in progress. Those without an answer shortly before `limit`
    /// runs out are answered that their outcome is in doubt. Returns the number of requests that
    /// were still in progress then.
    pub async fn stop(&self, limit: time::Duration) -> usize {
        let started = tokio::time::Instant::now();
        let deadline = started + limit;
        let last_answers = deadline - LAST_ANSWER_TIME.min(limit);
        let notice_end = started + self.shared.limits.drain_notice;
        self.shared
            .is_draining
            .store(true, atomic::Ordering::Release);
        let not_ready = lift_border::Readiness::NotReady;
        let reported = readiness::report(&self.shared, not_ready, None);
        let _ = tokio::time::timeout_at(deadline, reported).await;
        // New requests are accepted and refused with a reason until the last request in progress
        // has finished, because a closed port would leave callers in doubt.
        while self.in_progress() > 0 && tokio::time::Instant::now() < last_answers {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let cut_off = self.in_progress();
        self.shared.giving_up.cancel();
        tokio::time::sleep_until(notice_end.min(deadline)).await;
        self.closing.cancel();
        let _ = tokio::time::timeout_at(deadline, self.shared.stopped.cancelled()).await;
        self.shared.stopped.cancel();
        cut_off
    }
}
