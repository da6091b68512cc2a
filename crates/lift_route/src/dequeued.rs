//! Result of taking a request from the queue.

/// A request that was removed from a [`crate::FairQueue`], and whether it is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// The request is admitted.
    Admitted {
        /// Ticket of the request.
        ticket: u64,
    },
    /// The deadline of the request passed while it waited. The request must be refused, and
    /// the next one can be taken at once.
    Expired {
        /// Ticket of the request.
        ticket: u64,
    },
}
