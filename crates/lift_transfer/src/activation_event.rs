//! Events that an activation handles.

use std::time;

/// Input of [`crate::Activation::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationEvent {
    /// The policy sets the target version of this host, or the policy in force is not known.
    TargetVersion {
        /// Target version, `None` if no version is set or the policy is unconfirmed.
        version: Option<lift_types::VersionId>,
        /// Revision of the policy.
        revision: lift_types::Revision,
    },
    /// The host holds all of a version and has verified its hash.
    Complete {
        /// Version that is complete.
        version: lift_types::VersionId,
        /// Hash of the complete weights.
        hash: lift_types::ChunkHash,
    },
    /// The host no longer holds all of a version.
    Removed {
        /// Version that is no longer complete.
        version: lift_types::VersionId,
    },
    /// The lease of this incarnation was renewed.
    LeaseRenewed {
        /// End of the lease.
        until: time::Instant,
    },
    /// A later incarnation of the host is registered. This one withdraws for good.
    Replaced,
    /// Control granted the switch.
    Granted {
        /// Fencing token for the load order.
        fencing: lift_types::FencingToken,
        /// End of the grant.
        until: time::Instant,
    },
    /// Control did not grant the switch, or could not be reached.
    NotGranted {
        /// Time after which to request a grant again.
        retry_after: time::Duration,
    },
    /// New requests are refused, and draining has ended.
    Drained {
        /// Number of requests that were still in progress when the time ran out.
        in_progress: usize,
    },
    /// The engine replied to a load order.
    Loaded {
        /// Version that the engine serves, `None` if it has loaded none.
        version: Option<lift_types::VersionId>,
        /// Hash of the weights that the engine has loaded.
        hash: Option<lift_types::ChunkHash>,
        /// Fencing token of the last order that the engine executed.
        fencing: lift_types::FencingToken,
    },
    /// The engine refused a load order, failed, or did not answer in time.
    LoadFailed,
    /// The engine reported its state without an order.
    Reported {
        /// Version that the engine serves, `None` if it has loaded none.
        version: Option<lift_types::VersionId>,
        /// Hash of the weights that the engine has loaded.
        hash: Option<lift_types::ChunkHash>,
        /// Fencing token of the last order that the engine executed.
        fencing: lift_types::FencingToken,
    },
    /// The engine did not answer a request for its state.
    EngineUnreachable,
    /// Periodic event that triggers transitions which depend only on time.
    Tick,
}
