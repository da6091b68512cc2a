//! What the parts of the request side share.

use std::{sync, sync::atomic};

use crate::{gate, gate_state, seen_claims};

/// Parts that live as long as the request side.
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
    pub(crate) claims: seen_claims::SeenClaims,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) logger: slog::Logger,
    /// Number of the next call to the backend server.
    pub(crate) next_call: atomic::AtomicU64,
    /// Tasks that must end before the process does.
    pub(crate) tasks: tokio_util::task::TaskTracker,
    /// Connections of entries.
    pub(crate) connections: tokio_util::task::TaskTracker,
    /// Set when connections are to be closed.
    pub(crate) stopped: tokio_util::sync::CancellationToken,
    /// Set when what the heartbeat says has changed.
    pub(crate) changed: tokio::sync::Notify,
}

impl Shared {
    /// Refuses new work with `reason` from now on and tells the entries.
    pub(crate) fn close(&self, reason: lift_types::RefusalReason) {
        self.gate.set(gate_state::GateState::Closed(reason));
        self.changed.notify_one();
    }

    /// Refuses new work for good, because the backend server leaves.
    pub(crate) fn leave(&self) {
        self.close(lift_types::RefusalReason::Leaving);
    }
}
