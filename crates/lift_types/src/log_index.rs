//! Position in the replicated log.

/// Position of an entry in the replicated log, counted from one.
pub type LogIndex = u64;
