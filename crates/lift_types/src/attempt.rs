//! Attempt number of a claim.

/// Counts the attempts of one non-idempotent request, from one.
pub type Attempt = u32;
