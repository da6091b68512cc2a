//! Term of the replicated log.

/// Election term of the replicated log.
pub type Term = u64;
