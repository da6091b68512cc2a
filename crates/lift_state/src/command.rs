//! Commands of the replicated log.

use std::time;

use crate::{claim_request, config_change, reassign_request, record_request, registration};

/// Command of the replicated log. The proposer sets every value that depends on a clock or on
/// random numbers, so that applying the command is deterministic on all members.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Change {
        /// The change.
        change: config_change::ConfigChange,
        /// Hash of the encoded change. A known change id with another hash is rejected.
        hash: lift_types::ChunkHash,
        /// Time of the proposal by the proposer's wall clock, for the audit log.
        at: time::SystemTime,
    },
    /// Publishes the manifest of a version.
    Publish(lift_types::Manifest),
    /// Registers an agent and assigns its incarnation.
    Register(registration::Registration),
    /// Issues a fencing token to an agent.
    Fence {
        /// Host of the agent.
        host: lift_types::HostId,
        /// Incarnation of the agent, which must be the registered one.
        incarnation: lift_types::Incarnation,
    },
    /// Claims a non-idempotent request.
    Claim {
        /// The claim request.
        req: claim_request::ClaimRequest,
        /// Log time at the proposer, which determines when claims expire. It continues from the
        /// last claim and does not follow the wall clock.
        at: time::SystemTime,
    },
    /// Moves a claim to its next attempt, on another agent or the same one.
    Reassign(reassign_request::ReassignRequest),
    /// Records the outcome of a claimed request.
    Record(record_request::RecordRequest),
}
