//! The running request side of an agent.

use std::{net, sync, time};

use crate::{gate_state, serve_builder, shared};

/// Handle of the request side. Dropping it stops the tasks without a drain.
#[derive(Debug)]
pub struct Serve {
    shared: sync::Arc<shared::Shared>,
    call_addr: net::SocketAddr,
    _guard: tokio_util::sync::DropGuard,
}

impl Serve {
    /// Starts to describe a request side.
    pub fn builder() -> serve_builder::ServeBuilder {
        serve_builder::ServeBuilder::new()
    }

    pub(crate) fn new(shared: sync::Arc<shared::Shared>, call_addr: net::SocketAddr) -> Self {
        let guard = shared.stopped.clone().drop_guard();
        Self {
            shared,
            call_addr,
            _guard: guard,
        }
    }

    /// Address on which calls are accepted.
    pub fn call_addr(&self) -> net::SocketAddr {
        self.call_addr
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.shared.gate.in_progress()
    }

    /// Refuses new work for good, because the backend server leaves, and tells the entries.
    /// Requests in progress run on.
    pub fn leave(&self) {
        self.close(lift_types::RefusalReason::Leaving);
    }

    /// Refuses new work, completes what is in progress, records outcomes and stops. Returns
    /// the number of requests that were cut off because `limit` ran out.
    pub async fn stop(&self, limit: time::Duration) -> usize {
        let notice_ends = tokio::time::Instant::now() + LEAVE_NOTICE;
        let ends_at = tokio::time::Instant::now() + limit;
        self.close(lift_types::RefusalReason::Draining);
        let left = self.shared.gate.drain(limit).await;
        self.shared.tasks.close();
        let _ = tokio::time::timeout_at(ends_at, self.shared.tasks.wait()).await;
        // A connection that closes under a call leaves its outcome open, so calls are refused
        // until the entries know that this agent leaves.
        tokio::time::sleep_until(notice_ends.min(ends_at)).await;
        self.shared.stopped.cancel();
        self.shared.connections.close();
        let _ = tokio::time::timeout_at(ends_at, self.shared.connections.wait()).await;
        left
    }

    fn close(&self, reason: lift_types::RefusalReason) {
        self.shared.gate.set(gate_state::GateState::Closed(reason));
        self.shared.changed.notify_one();
    }
}

/// Time in which entries learn from two heartbeats that an agent leaves.
const LEAVE_NOTICE: time::Duration = time::Duration::from_millis(600);

#[async_trait::async_trait]
impl lift_border::ServingControl for Serve {
    async fn close_and_drain(&self, limit: time::Duration) -> usize {
        self.close(lift_types::RefusalReason::Switching);
        self.shared.gate.drain(limit).await
    }

    fn open(&self, version: lift_types::ServingVersion) {
        self.shared
            .gate
            .set(gate_state::GateState::Serving(version));
        self.shared.changed.notify_one();
    }

    fn serving(&self) -> Option<lift_types::ServingVersion> {
        match self.shared.gate.state() {
            gate_state::GateState::Serving(version) => Some(version),
            _ => None,
        }
    }
}
