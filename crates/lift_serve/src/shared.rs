//! State that the tasks of the request side share.

use std::{sync, sync::atomic};

use crate::{claim_table, gate, gate_state};

/// Settings and state that all connections and tasks of the request side share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) location: lift_types::Location,
    pub(crate) incarnation: lift_types::Incarnation,
    pub(crate) keys: sync::Arc<lift_wire::LinkKeys>,
    pub(crate) backend: sync::Arc<dyn lift_border::Backend>,
    pub(crate) control: sync::Arc<dyn lift_rpc::ControlPort>,
    pub(crate) policy: tokio::sync::watch::Receiver<lift_types::PolicyView>,
    pub(crate) services: Vec<lift_types::ServiceId>,
    pub(crate) max_in_progress: usize,
    pub(crate) gate: sync::Arc<gate::Gate>,
    pub(crate) claims: claim_table::ClaimTable,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) logger: slog::Logger,
    /// Number of the next call to the backend server, for its id.
    pub(crate) next_call: atomic::AtomicU64,
    /// Tasks that run calls and record outcomes. They should finish before the process stops.
    pub(crate) tasks: tokio_util::task::TaskTracker,
    /// Tasks that serve the connections of entries.
    pub(crate) connections: tokio_util::task::TaskTracker,
    /// Cancelled when the request side stops and closes its connections.
    pub(crate) stopped: tokio_util::sync::CancellationToken,
    /// Notified when the gate changes its state, so that a heartbeat is sent early.
    pub(crate) state_changed: tokio::sync::Notify,
}

impl Shared {
    /// Refuses new requests with `reason` from now on and notifies the entries.
    pub(crate) fn close(&self, reason: lift_types::RefusalReason) {
        self.gate.set_state(gate_state::GateState::Closed(reason));
        self.state_changed.notify_one();
    }

    /// Refuses new requests permanently, because the backend server leaves the fleet.
    pub(crate) fn leave(&self) {
        self.close(lift_types::RefusalReason::Leaving);
    }
}
