//! State of an activation.

use std::time;

/// What the engine has confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Loaded {
    pub(crate) version: lift_types::VersionId,
    pub(crate) hash: lift_types::ChunkHash,
    pub(crate) fencing: lift_types::FencingToken,
}

/// Whether a report of the engine suffices to advertise its version. After a failed order
/// it does not: the order may still take effect in an engine that ignores fencing tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trust {
    Reports,
    LoadsOnly,
}

/// Step of a switch that waits for an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The engine has not been asked yet what it serves.
    Starting,
    Idle,
    Waiting {
        until: time::Instant,
    },
    Asking {
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

/// What a report says, where the engine has loaded anything.
pub(crate) fn loaded(
    version: Option<lift_types::VersionId>,
    hash: Option<lift_types::ChunkHash>,
    fencing: lift_types::FencingToken,
) -> Option<Loaded> {
    Some(Loaded {
        version: version?,
        hash: hash?,
        fencing,
    })
}
