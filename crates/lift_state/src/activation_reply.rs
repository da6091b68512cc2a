//! Reply to a request to switch a host to another version.

use std::time;

/// Whether a host may switch to another version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ActivationReply {
    /// The host may switch. The grant expires after `valid_for`, counted from the moment the
    /// agent sent the request.
    Granted {
        /// Fencing token for the load order to the engine.
        fencing: lift_types::FencingToken,
        /// Duration of the grant.
        valid_for: time::Duration,
    },
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
    /// The agent holds no valid lease, or a later incarnation is registered.
    NoLease,
}
