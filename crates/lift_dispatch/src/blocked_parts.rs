//! Parts of a prompt that must not reach backend servers.

use std::time;

/// The quarantined parts of a request's prompt that keep the request from backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockedParts {
    /// The parts, in no particular order. More than one if nothing tells yet which of them is at
    /// fault.
    pub parts: Vec<lift_fleet::PromptPart>,
    /// Time until their quarantine ends.
    pub time_left: time::Duration,
}
