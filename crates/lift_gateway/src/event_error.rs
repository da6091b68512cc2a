//! Why a stream of events can't go on.

/// Problem in a stream of numbered events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event has no number, or one that can't be read.
    #[error("an event has no number")]
    Unnumbered,
    /// An event does not follow the last one.
    #[error("event {found} does not follow event {last}")]
    OutOfOrder {
        /// Number of the last event.
        last: u64,
        /// Number of the event that came.
        found: u64,
    },
    /// An event is longer than the buffer.
    #[error("an event is too long")]
    TooLong,
}
