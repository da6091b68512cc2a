//! Decision of the activation gate.

use std::time;

/// Whether a host may leave its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GateDecision {
    /// The host may switch. It counts as out of service from now on.
    Grant,
    /// Too many hosts of the failure domain are out of service.
    Wait {
        /// Time after which to ask again.
        retry_after: time::Duration,
    },
    /// The policy asks for another version here.
    NotWanted {
        /// Version that the policy asks for.
        wanted: Option<lift_types::VersionId>,
    },
    /// The agent has no live lease.
    NoLease,
}
