//! Heartbeat of a backend server.

use std::{net, time};

use crate::{backend_id, backend_state, loaded_model};

/// Content of one heartbeat, by which a backend server announces its address and state.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// The backend server that sent the heartbeat.
    pub id: backend_id::BackendId,
    /// When its process started. A restarted process under the same identifier has a later time
    /// and none of the earlier one's state.
    pub started_at: time::SystemTime,
    /// Increases with each heartbeat of one process.
    pub sequence: u64,
    /// Service to which it belongs.
    pub service: lift_types::ServiceId,
    /// Address at which it accepts requests.
    pub address: net::SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: lift_types::FailureDomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: backend_state::BackendState,
    /// Time until it runs at its usual speed. It is slower for a while after its start.
    pub warmup_left: time::Duration,
    /// Models that it has loaded completely. Empty for a service without models.
    pub models: Vec<loaded_model::LoadedModel>,
}

impl Announcement {
    /// Whether `self` was sent after `other`, if both have the same identifier.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.started_at, self.sequence) > (other.started_at, other.sequence)
    }

    /// Whether both have the same content apart from the sequence and the warm-up time, which
    /// change with every heartbeat.
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.started_at == other.started_at
            && self.service == other.service
            && self.address == other.address
            && self.failure_domain == other.failure_domain
            && self.slots == other.slots
            && self.state == other.state
            && self.models == other.models
    }
}
