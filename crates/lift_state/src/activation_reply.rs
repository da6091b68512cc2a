//! Answer to a request to switch a host.

use std::time;

/// Whether a host may switch.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ActivationReply {
    /// The host may switch. The grant ends with `valid_for`, counted from when the request
    /// was sent.
    Granted {
        /// Token of the load order.
        fencing: lift_types::FencingToken,
        /// Time of the grant.
        valid_for: time::Duration,
    },
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
    /// The agent has no live lease, or a later incarnation is registered.
    NoLease,
}
