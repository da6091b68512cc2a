//! What a backend server says of itself.

use std::{net, time};

use crate::{backend_id, backend_state, loaded_model};

/// Content of one heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// Who speaks.
    pub id: backend_id::BackendId,
    /// When it started. A later start under the same name knows nothing of the earlier one.
    pub born: time::SystemTime,
    /// Grows with each heartbeat of one start.
    pub sequence: u64,
    /// Service whose requests it answers.
    pub service: lift_types::ServiceId,
    /// Where it takes requests.
    pub address: net::SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: lift_types::FailureDomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: backend_state::BackendState,
    /// How much longer it stays slow after its start.
    pub warming: time::Duration,
    /// Models that it holds whole. Empty for a plain service.
    pub models: Vec<loaded_model::LoadedModel>,
}

impl Announcement {
    /// Whether `self` was said after `other` by the same name.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.born, self.sequence) > (other.born, other.sequence)
    }

    /// Whether both say the same but for the sequence and what passes by itself.
    pub fn says_the_same_as(&self, other: &Self) -> bool {
        self.born == other.born
            && self.service == other.service
            && self.address == other.address
            && self.failure_domain == other.failure_domain
            && self.slots == other.slots
            && self.state == other.state
            && self.models == other.models
    }
}
