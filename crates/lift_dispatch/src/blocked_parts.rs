//! A part of a prompt that must not reach backend servers.

use std::time;

/// The quarantined part of a request's prompt that keeps the request from backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockedPart {
    /// The part.
    pub part: lift_fleet::PromptPart,
    /// Time until its quarantine ends.
    pub time_left: time::Duration,
}
