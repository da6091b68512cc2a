//! Quarantine of one part of prompts.

use std::time;

/// Time span in which requests with a part are refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quarantine {
    /// When the first backend server ended that the part is blamed for.
    pub(crate) first_end: time::Instant,
    /// When the quarantine ends.
    pub(crate) until: time::Instant,
}
