//! The running request side of an agent.

use std::{net, sync, time};

use crate::{gate_state, request_server_builder, shared};

/// Handle of the request side of an agent. Dropping it closes the connections without waiting
/// for requests in progress.
#[derive(Debug)]
pub struct RequestServer {
    shared: sync::Arc<shared::Shared>,
    call_addr: net::SocketAddr,
    _guard: tokio_util::sync::DropGuard,
}

impl RequestServer {
    /// Returns a builder with default settings.
    pub fn builder() -> request_server_builder::RequestServerBuilder {
        request_server_builder::RequestServerBuilder::new()
    }

    pub(crate) fn new(shared: sync::Arc<shared::Shared>, call_addr: net::SocketAddr) -> Self {
        let guard = shared.stopped.clone().drop_guard();
        Self {
            shared,
            call_addr,
            _guard: guard,
        }
    }

    /// Returns the address on which calls are accepted.
    pub fn call_addr(&self) -> net::SocketAddr {
        self.call_addr
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.shared.gate.in_progress()
    }

    /// Refuses new requests permanently, because the backend server leaves the fleet, and
    /// notifies the entries. Requests in progress continue.
    pub fn leave(&self) {
        self.shared.leave();
    }

    /// Refuses new requests, waits until those in progress have finished and their outcomes are
    /// recorded, and stops. All of this takes at most `limit`. Returns the number of requests
    /// that were still in progress at the end of the limit.
    pub async fn stop(&self, limit: time::Duration) -> usize {
        let notice_deadline = tokio::time::Instant::now() + LEAVE_NOTICE_TIME;
        let deadline = tokio::time::Instant::now() + limit;
        self.shared.close(lift_types::RefusalReason::Draining);
        let unfinished = self.shared.gate.drain(limit).await;
        self.shared.tasks.close();
        let _ = tokio::time::timeout_at(deadline, self.shared.tasks.wait()).await;
        // Closing the connection during a call would leave the caller without a proof that the
        // call did not run. The agent therefore keeps refusing calls until the entries have been
        // notified that it leaves.
        tokio::time::sleep_until(notice_deadline.min(deadline)).await;
        self.shared.stopped.cancel();
        self.shared.connections.close();
        let _ = tokio::time::timeout_at(deadline, self.shared.connections.wait()).await;
        unfinished
    }
}

/// Time in which at least two heartbeats notify the entries that an agent leaves.
const LEAVE_NOTICE_TIME: time::Duration = time::Duration::from_millis(600);

#[async_trait::async_trait]
impl lift_border::ServingControl for RequestServer {
    async fn close_and_drain(&self, limit: time::Duration) -> usize {
        self.shared.close(lift_types::RefusalReason::Switching);
        self.shared.gate.drain(limit).await
    }

    fn open(&self, version: lift_types::ServingVersion) {
        self.shared
            .gate
            .set_state(gate_state::GateState::Serving(version));
        self.shared.state_changed.notify_one();
    }

    fn serving(&self) -> Option<lift_types::ServingVersion> {
        match self.shared.gate.state() {
            gate_state::GateState::Serving(version) => Some(version),
            _ => None,
        }
    }
}
