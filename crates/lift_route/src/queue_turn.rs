//! Turn of a waiting request.

/// What becomes of the request that comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueTurn {
    /// It is admitted.
    Admit {
        /// Its ticket.
        ticket: u64,
    },
    /// Its deadline passed while it waited. It is refused and the next one has its turn.
    Late {
        /// Its ticket.
        ticket: u64,
    },
}
