//! Connections to agents.

use std::{net, sync};

use crate::agent_link;

/// Number of shards.
const SHARDS: usize = 32;

type Cell = sync::Arc<tokio::sync::OnceCell<sync::Arc<agent_link::AgentLink>>>;

/// One connection for each agent, opened with the first request and replaced when it
/// closes.
#[derive(Debug)]
pub(crate) struct Links {
    slots: lift_shard::Shards<indexmap::IndexMap<lift_types::HostId, Slot>>,
    keys: sync::Arc<lift_wire::LinkKeys>,
    counters: sync::Arc<lift_obs::Counters>,
    stopped: tokio_util::sync::CancellationToken,
}

#[derive(Clone, Debug)]
struct Slot {
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
            slots: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            keys,
            counters,
            stopped,
        }
    }

    /// Connection to an agent. Requests that come while it is opened wait for the same one.
    pub(crate) async fn get(
        &self,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
        addr: net::SocketAddr,
    ) -> Option<sync::Arc<agent_link::AgentLink>> {
        let cell = self.slots.with(&host, |slots| {
            let is_usable = |slot: &&mut Slot| {
                let is_same = slot.incarnation == incarnation && slot.addr == addr;
                is_same && !slot.cell.get().is_some_and(|link| link.is_closed())
            };
            if let Some(slot) = slots.get_mut(&host).filter(is_usable) {
                return sync::Arc::clone(&slot.cell);
            }
            let cell = Cell::default();
            let slot = Slot {
                incarnation,
                addr,
                cell: sync::Arc::clone(&cell),
            };
            slots.insert(host, slot);
            cell
        });
        let open = || async {
            let counters = sync::Arc::clone(&self.counters);
            let link = agent_link::AgentLink::open(addr, &self.keys, counters, &self.stopped);
            link.await.ok_or(())
        };
        cell.get_or_try_init(open).await.ok().cloned()
    }

    /// Forgets hosts that are gone. An open connection stays: heartbeats may be lost while
    /// requests run on, and a host that failed goes silent here, too.
    pub(crate) fn retain(&self, is_live: impl Fn(lift_types::HostId) -> bool) {
        self.slots.for_each(|slots| {
            slots.retain(|host, slot| {
                let is_open = slot.cell.get().is_some_and(|link| !link.is_closed());
                is_open || is_live(*host)
            });
        });
    }
}
