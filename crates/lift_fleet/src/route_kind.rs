//! Kind of a route.

/// Whether the requests of a route may run more than once, and whether they are streamed.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of numbered events that can't be resumed. A request runs at most
    /// once.
    Stream,
    /// The answer is a stream of numbered events. A second run may resume after the last event
    /// that the caller has received.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may run a second time.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
