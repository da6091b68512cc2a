//! Faults of the origin stand-in.

/// What the origin does to a read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OriginFault {
    /// Answers.
    #[default]
    None,
    /// Changes a byte in every n-th answer.
    Corrupt {
        /// One answer in this number is changed; at least one.
        one_in: u64,
    },
    /// Accepts requests and never answers.
    Stall,
    /// Breaks every request.
    Die,
}
