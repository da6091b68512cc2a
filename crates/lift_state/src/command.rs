//! Commands of the replicated log.

use std::time;

use crate::{claim_request, config_change, reassign_request, record_request, registration};

/// One command of the replicated log. Whatever depends on a clock or on chance is decided by
/// the proposer and carried inside, so that all members reach the same state.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Change {
        /// The change.
        change: config_change::ConfigChange,
        /// Hash of the encoded change. A change id that comes with another hash is refused.
        hash: lift_types::ChunkHash,
        /// Wall clock of the proposer, for the audit log.
        at: time::SystemTime,
    },
    /// Makes a version known.
    Publish(lift_types::Manifest),
    /// Gives an agent its incarnation.
    Register(registration::Registration),
    /// Draws a fencing token for an agent.
    Fence {
        /// Host of the agent.
        host: lift_types::HostId,
        /// Its incarnation, which must be the registered one.
        incarnation: lift_types::Incarnation,
    },
    /// Claims a non-idempotent request.
    Claim {
        /// The request.
        req: claim_request::ClaimRequest,
        /// Log time of the proposer, by which claims are retained.
        at: time::SystemTime,
    },
    /// Moves a claim to another agent.
    Reassign(reassign_request::ReassignRequest),
    /// Records the outcome of a claimed request.
    Record(record_request::RecordRequest),
}
