//! Private state of an activation.

use std::time;

/// Version that the engine has confirmed as loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LoadedVersion {
    pub(crate) version: lift_types::VersionId,
    pub(crate) hash: lift_types::ChunkHash,
    pub(crate) fencing: lift_types::FencingToken,
}

/// Confirmation that the engine must give before its version is advertised. A report suffices
/// until an order fails; after that only a successful load does, because the failed order may
/// still take effect in an engine that ignores fencing tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequiredConfirmation {
    Report,
    Load,
}

/// State of a switch between two events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ActivationState {
    /// The first request for the state of the engine has neither been answered nor failed.
    Starting,
    Idle,
    Backoff {
        until: time::Instant,
    },
    RequestingGrant {
        version: lift_types::VersionId,
    },
    Draining {
        version: lift_types::VersionId,
        fencing: lift_types::FencingToken,
        until: time::Instant,
    },
    Loading {
        version: lift_types::VersionId,
        fencing: lift_types::FencingToken,
    },
    Stopped,
}

/// Returns the version in a report, or `None` if the engine has not loaded any.
pub(crate) fn loaded_version(
    version: Option<lift_types::VersionId>,
    hash: Option<lift_types::ChunkHash>,
    fencing: lift_types::FencingToken,
) -> Option<LoadedVersion> {
    Some(LoadedVersion {
        version: version?,
        hash: hash?,
        fencing,
    })
}
