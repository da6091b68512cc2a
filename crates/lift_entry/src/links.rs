//! Connections to agents.

use std::{net, sync};

use crate::agent_link;

/// Number of shards of the connections.
const SHARDS: usize = 32;

type Cell = sync::Arc<tokio::sync::OnceCell<sync::Arc<agent_link::AgentLink>>>;

/// One connection for each agent. It is opened by the first request, and replaced by the next
/// request after it has closed or the agent has another incarnation or address.
#[derive(Debug)]
pub(crate) struct Links {
    host_links: lift_shard::Shards<indexmap::IndexMap<lift_types::HostId, HostLink>>,
    keys: sync::Arc<lift_wire::LinkKeys>,
    counters: sync::Arc<lift_obs::Counters>,
    stopped: tokio_util::sync::CancellationToken,
}

/// Connection to one incarnation of an agent at one address.
#[derive(Clone, Debug)]
struct HostLink {
    incarnation: lift_types::Incarnation,
    addr: net::SocketAddr,
    cell: Cell,
}

impl Links {
    pub(crate) fn new(
        keys: sync::Arc<lift_wire::LinkKeys>,
        counters: sync::Arc<lift_obs::Counters>,
        stopped: tokio_util::sync::CancellationToken,
    ) -> Self {
        Self {
            host_links: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            keys,
            counters,
            stopped,
        }
    }

    /// Returns the connection to an agent, or `None` if it can't be opened. Requests that arrive
    /// while it is being opened wait for the same connection.
    pub(crate) async fn get(
        &self,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
        addr: net::SocketAddr,
    ) -> Option<sync::Arc<agent_link::AgentLink>> {
        let cell = self.host_links.with(&host, |host_links| {
            let is_usable = |host_link: &&mut HostLink| {
                let is_same = host_link.incarnation == incarnation && host_link.addr == addr;
                is_same && !host_link.cell.get().is_some_and(|link| link.is_closed())
            };
            if let Some(host_link) = host_links.get_mut(&host).filter(is_usable) {
                return sync::Arc::clone(&host_link.cell);
            }
            let cell = Cell::default();
            let host_link = HostLink {
                incarnation,
                addr,
                cell: sync::Arc::clone(&cell),
            };
            host_links.insert(host, host_link);
            cell
        });
        let open = || async {
            let counters = sync::Arc::clone(&self.counters);
            let link = agent_link::AgentLink::open(addr, &self.keys, counters, &self.stopped);
            link.await.ok_or(())
        };
        cell.get_or_try_init(open).await.ok().cloned()
    }

    /// Removes the connections to hosts that are not live, except open ones. Heartbeats may be
    /// lost while requests still run on a connection, and the connection to a failed host is
    /// closed by its own silence timeout.
    pub(crate) fn retain(&self, is_live: impl Fn(lift_types::HostId) -> bool) {
        self.host_links.for_each(|host_links| {
            host_links.retain(|host, host_link| {
                let is_open = host_link.cell.get().is_some_and(|link| !link.is_closed());
                is_open || is_live(*host)
            });
        });
    }
}
