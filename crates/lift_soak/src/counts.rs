//! Counts of requests.

/// Counts of one kind of request in a span of time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) sent: u64,
    pub(crate) served: u64,
}
