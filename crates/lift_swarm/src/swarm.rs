//! Handle of the weight distribution at one agent.

use std::{net, sync, time};

use tokio::sync as tokio_sync;

use crate::{agent, swarm_builder, swarm_status};

/// Time that a graceful stop waits in addition to the limit of a load order.
const STOP_GRACE: time::Duration = time::Duration::from_secs(5);

/// The running weight distribution of one agent.
///
/// It follows the policy, fetches the target version from the origin and from other agents,
/// verifies it, orders the engine to load it when control grants the switch, and opens the
/// request side for the version that the engine has confirmed.
#[derive(Debug)]
pub struct Swarm {
    pub(crate) agent: sync::Arc<agent::Agent>,
    pub(crate) local_addr: net::SocketAddr,
}

impl Swarm {
    /// Returns a builder for the weight distribution of an agent.
    pub fn builder() -> swarm_builder::SwarmBuilder {
        swarm_builder::SwarmBuilder::new()
    }

    /// Returns a receiver of the status: what the agent fetches, holds and serves.
    pub fn status(&self) -> tokio_sync::watch::Receiver<swarm_status::SwarmStatus> {
        self.agent.status.subscribe()
    }

    /// Returns the address on which the chunk server listens.
    pub fn local_addr(&self) -> net::SocketAddr {
        self.local_addr
    }

    /// Returns the incarnation that control has assigned.
    pub fn incarnation(&self) -> lift_types::Incarnation {
        self.agent.incarnation
    }

    /// Stops the tasks and closes the connections to other agents, which ends uploads in
    /// progress. Waits for a load order in progress, up to its limit and a few seconds. Stored
    /// chunks stay on disk. The request side is not changed: the caller drains it.
    pub async fn stop(self) {
        self.agent.stop.cancel();
        self.agent.tasks.close();
        let limit = self.agent.limits.order_limit + STOP_GRACE;
        let _ = tokio::time::timeout(limit, self.agent.tasks.wait()).await;
    }
}

impl Drop for Swarm {
    fn drop(&mut self) {
        self.agent.stop.cancel();
    }
}
