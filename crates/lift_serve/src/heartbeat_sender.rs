//! Sends heartbeats.

use std::{net, sync, time};

use crate::{gate_state, shared};

/// Time between two heartbeats.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Least time between two heartbeats when the state changes quickly.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Where heartbeats go and what they say beside the state.
#[derive(Debug)]
pub(crate) struct HeartbeatSender {
    pub(crate) shared: sync::Arc<shared::Shared>,
    pub(crate) socket: tokio::net::UdpSocket,
    pub(crate) entries: tokio::sync::watch::Receiver<Vec<net::SocketAddr>>,
    pub(crate) call_addr: net::SocketAddr,
    pub(crate) chunk_addr: Option<net::SocketAddr>,
}

impl HeartbeatSender {
    /// Sends heartbeats until the agent stops, at once where the state changes.
    pub(crate) async fn run(self) {
        let mut sequence = 0;
        loop {
            sequence += 1;
            self.send(sequence).await;
            tokio::time::sleep(MIN_INTERVAL).await;
            tokio::select! {
                () = tokio::time::sleep(INTERVAL - MIN_INTERVAL) => {}
                () = self.shared.changed.notified() => {}
                () = self.shared.stopped.cancelled() => return,
            }
        }
    }

    async fn send(&self, sequence: u64) {
        let heartbeat = self.heartbeat(sequence);
        let Ok(datagram) = lift_wire::seal(&self.shared.keys, &heartbeat) else {
            return;
        };
        let entries = self.entries.borrow().clone();
        for entry in entries {
            if self.socket.send_to(&datagram, entry).await.is_err() {
                self.shared.counters.increment("serve.heartbeat_failed");
            }
        }
    }

    fn heartbeat(&self, sequence: u64) -> lift_wire::Heartbeat {
        let state = self.shared.gate.state();
        let is_leaving = matches!(
            state,
            gate_state::GateState::Closed(
                lift_types::RefusalReason::Leaving | lift_types::RefusalReason::Draining
            )
        );
        let serving = match state {
            gate_state::GateState::Serving(version) => Some(version),
            _ => None,
        };
        lift_wire::Heartbeat {
            location: self.shared.location.clone(),
            incarnation: self.shared.incarnation,
            sequence,
            state: if is_leaving {
                lift_types::HostState::Leaving
            } else {
                lift_types::HostState::Up
            },
            serving,
            in_progress: self.shared.gate.in_progress() as u32,
            call_addr: self.call_addr,
            chunk_addr: self.chunk_addr,
            services: self.shared.services.clone(),
        }
    }
}
