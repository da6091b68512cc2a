//! Sends heartbeats to the entries.

use std::{net, sync, time};

use crate::{gate_state, shared};

/// Time between two heartbeats while the state does not change.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Minimum time between two heartbeats when the state changes quickly.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Sends heartbeats to all entries over UDP.
#[derive(Debug)]
pub(crate) struct HeartbeatSender {
    pub(crate) shared: sync::Arc<shared::Shared>,
    pub(crate) socket: tokio::net::UdpSocket,
    pub(crate) entries: tokio::sync::watch::Receiver<Vec<net::SocketAddr>>,
    pub(crate) call_addr: net::SocketAddr,
    pub(crate) chunk_addr: Option<net::SocketAddr>,
}

impl HeartbeatSender {
    /// Sends heartbeats until the agent stops. After a change of the gate state the next one is
    /// sent as soon as [`MIN_INTERVAL`] has passed since the previous one.
    pub(crate) async fn run(self) {
        let mut sequence = 0;
        loop {
            sequence += 1;
            self.send_heartbeat(sequence).await;
            tokio::time::sleep(MIN_INTERVAL).await;
            tokio::select! {
                () = tokio::time::sleep(INTERVAL - MIN_INTERVAL) => {}
                () = self.shared.state_changed.notified() => {}
                () = self.shared.stopped.cancelled() => return,
            }
        }
    }

    async fn send_heartbeat(&self, sequence: u64) {
        let heartbeat = self.build_heartbeat(sequence);
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

    fn build_heartbeat(&self, sequence: u64) -> lift_wire::Heartbeat {
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
