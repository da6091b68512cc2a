//! Attempt number of a claim.

/// Number of an attempt to run one non-idempotent request, counted from one.
pub type Attempt = u32;
