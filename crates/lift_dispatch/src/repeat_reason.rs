//! Why a request is sent again.

/// Reason of a further attempt, with a counter (`repeat.NAME`).
pub type RepeatReason = crate::attempt_end::AttemptEnd;
