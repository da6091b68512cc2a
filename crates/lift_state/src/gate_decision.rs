//! Decision of the activation gate.

use std::time;

/// Whether a host may switch to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GateDecision {
    /// The host may switch. It counts as out of service until the switch is done or the grant
    /// expires.
    Grant,
    /// The switch would leave too few hosts of the failure domain in service, or grants of the
    /// previous leader may still be valid.
    Wait {
        /// Time to wait before the next request.
        retry_after: time::Duration,
    },
    /// The requested version is not the target version of this host.
    NotTargetVersion {
        /// Target version of this host, if the policy sets one.
        target: Option<lift_types::VersionId>,
    },
    /// The agent holds no valid lease.
    NoLease,
}
