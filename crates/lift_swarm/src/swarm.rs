//! Handle of the weight distribution at one agent.

use std::{net, sync, time};

use tokio::sync as tokio_sync;

use crate::{agent, swarm_builder, swarm_status};

/// Longest wait for a graceful stop beyond the longest load order.
const STOP_GRACE: time::Duration = time::Duration::from_secs(5);

/// The running weight distribution of one agent.
///
/// It follows the policy, fetches the wanted version from the origin and from other agents,
/// verifies it, orders the engine to load it when control grants that, and opens the request
/// side for the version that the engine has confirmed.
#[derive(Debug)]
pub struct Swarm {
    pub(crate) agent: sync::Arc<agent::Agent>,
    pub(crate) local_addr: net::SocketAddr,
}

impl Swarm {
    /// Starts to describe an agent.
    pub fn builder() -> swarm_builder::SwarmBuilder {
        swarm_builder::SwarmBuilder::new()
    }

    /// Follows what the agent fetches, holds and serves.
    pub fn status(&self) -> tokio_sync::watch::Receiver<swarm_status::SwarmStatus> {
        self.agent.status.subscribe()
    }

    /// Address of the chunk server.
    pub fn local_addr(&self) -> net::SocketAddr {
        self.local_addr
    }

    /// Incarnation that control has assigned.
    pub fn incarnation(&self) -> lift_types::Incarnation {
        self.agent.incarnation
    }

    /// Stops. Uploads and a load order in progress are finished; what is fetched stays on
    /// disk. The request side stays as it is: the caller drains it.
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
