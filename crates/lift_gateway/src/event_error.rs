//! Errors in a stream of events.

/// Problem in a stream of numbered events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event has no number, or one that can't be parsed.
    #[error("an event has no valid number")]
    Unnumbered,
    /// The number of an event is not one higher than that of the last event.
    #[error("event {found} does not follow event {last}")]
    OutOfOrder {
        /// Number of the last event.
        last: u64,
        /// Number of the event received.
        found: u64,
    },
    /// An incomplete event is longer than the buffer allows.
    #[error("an event is too long")]
    TooLong,
}
