//! What an activation is told.

use std::time;

/// Event of a [`crate::Activation`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationEvent {
    /// The policy asks for this version here, or the policy in force is not known.
    Wanted {
        /// Version, `None` where no version is set or the policy is unconfirmed.
        version: Option<lift_types::VersionId>,
        /// Revision of the policy.
        revision: lift_types::Revision,
    },
    /// The host holds a version whole, and its hash was verified.
    Whole {
        /// The version.
        version: lift_types::VersionId,
        /// Hash of the whole.
        hash: lift_types::ChunkHash,
    },
    /// The host no longer holds a version.
    Removed {
        /// The version.
        version: lift_types::VersionId,
    },
    /// The lease of this incarnation was renewed.
    Lease {
        /// When it ends.
        until: time::Instant,
    },
    /// A later incarnation of the host is registered.
    Replaced,
    /// Control grants the switch.
    Granted {
        /// Token of the load order.
        fencing: lift_types::FencingToken,
        /// When the grant ends.
        until: time::Instant,
    },
    /// Control grants nothing now, or could not be asked.
    NotGranted {
        /// Time after which to ask again.
        retry_after: time::Duration,
    },
    /// The request side is closed.
    Drained {
        /// Requests that were still in progress when the time ran out.
        in_progress: usize,
    },
    /// The engine answered a load order.
    Loaded {
        /// Version that it serves.
        version: Option<lift_types::VersionId>,
        /// Hash of what it has loaded.
        hash: Option<lift_types::ChunkHash>,
        /// Token of the last order that it followed.
        fencing: lift_types::FencingToken,
    },
    /// The engine refused a load order, failed, or did not answer in time.
    LoadFailed,
    /// The engine reported its state without an order.
    Reported {
        /// Version that it serves.
        version: Option<lift_types::VersionId>,
        /// Hash of what it has loaded.
        hash: Option<lift_types::ChunkHash>,
        /// Token of the last order that it followed.
        fencing: lift_types::FencingToken,
    },
    /// The engine could not be asked for its state.
    EngineLost,
    /// Time has passed.
    Clock,
}
