//! Kind of a route.

/// What may be repeated of the requests of a route.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of numbered events that can't be taken up again. A request
    /// runs at most once.
    Stream,
    /// The answer is a stream of numbered events. A second run may go on after the last
    /// event that the caller got.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may run a second time.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
