//! Kinds of requests.

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

    /// The kind of a path.
    pub(crate) fn of_path(path: &str) -> Option<Self> {
        [Self::Read, Self::Write, Self::Stream]
            .into_iter()
            .find(|kind| path.starts_with(kind.prefix()))
    }
}
