//! Kinds of requests.

use strum::IntoEnumIterator as _;

use crate::{process_settings, soak_server};

/// What callers ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RequestKind {
    /// An answer from the plain service that may run more than once.
    Read,
    /// An answer from the plain service that runs at most once.
    Write,
    /// A stream of events from an engine.
    Stream,
}

impl RequestKind {
    /// Prefix of the paths of its route.
    pub(crate) fn prefix(self) -> &'static str {
        match self {
            Self::Read => "/read/",
            Self::Write => "/write/",
            Self::Stream => "/stream/",
        }
    }

    pub(crate) fn route_kind(self) -> lift_fleet::RouteKind {
        match self {
            Self::Read => lift_fleet::RouteKind::Idempotent,
            Self::Write => lift_fleet::RouteKind::NonIdempotent,
            Self::Stream => lift_fleet::RouteKind::ResumableStream,
        }
    }

    /// Service that answers it.
    pub(crate) fn service(self) -> &'static str {
        match self {
            Self::Read | Self::Write => soak_server::PLAIN_SERVICE,
            Self::Stream => process_settings::ENGINE_SERVICE,
        }
    }

    /// The kind of a path.
    pub(crate) fn of_path(path: &str) -> Option<Self> {
        Self::iter().find(|kind| path.starts_with(kind.prefix()))
    }
}
