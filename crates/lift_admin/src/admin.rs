//! The running administration API.

use std::{net, sync, time};

use tokio_util::{sync as tokio_sync, task};

use crate::{admin_builder, fleet_view, listener};

/// Administration API of one entry.
#[derive(Debug)]
pub struct Admin {
    addr: net::SocketAddr,
    stopping: tokio_sync::CancellationToken,
    tasks: task::TaskTracker,
}

impl Admin {
    /// Prepares an administration API over its three required parts.
    pub fn builder(
        control: sync::Arc<dyn lift_rpc::ControlPort>,
        fleet: sync::Arc<dyn fleet_view::FleetView>,
        counters: sync::Arc<lift_obs::Counters>,
    ) -> admin_builder::AdminBuilder {
        admin_builder::AdminBuilder::new(control, fleet, counters)
    }

    pub(crate) fn start(addr: net::SocketAddr, listener: listener::Listener) -> Self {
        let stopping = tokio_sync::CancellationToken::new();
        let tasks = task::TaskTracker::new();
        tasks.spawn(listener.run(stopping.clone(), tasks.clone()));
        Self {
            addr,
            stopping,
            tasks,
        }
    }

    /// Address that it listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Accepts no more connections and waits for the requests in progress, at most `grace`.
    pub async fn stop(&self, grace: time::Duration) {
        self.stopping.cancel();
        self.tasks.close();
        // Whatever is still in progress after the grace time ends with the process.
        let _ = tokio::time::timeout(grace, self.tasks.wait()).await;
    }
}
