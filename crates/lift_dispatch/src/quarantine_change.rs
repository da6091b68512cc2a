//! Start, change and end of the quarantine of parts of prompts.

use std::time;

/// Parts of prompts whose quarantine has started, changed or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Requests that hold all of the parts are refused from now on.
    Started {
        /// The parts. More than one if nothing tells yet which of them is at fault.
        parts: Vec<lift_fleet::PromptPart>,
        /// Number of backend servers that ended one after the other while they worked on them.
        ends: usize,
        /// How long the quarantine lasts.
        lasts: time::Duration,
    },
    /// Some parts are no longer suspected, so requests that hold all of the others are refused.
    Narrowed {
        /// The parts that are still suspected.
        parts: Vec<lift_fleet::PromptPart>,
    },
    /// Answers to requests with the parts were complete, so they crash no backend servers.
    Answered {
        /// The part that was cleared last.
        part: lift_fleet::PromptPart,
    },
    /// The time of the quarantine has passed.
    Expired {
        /// The parts.
        parts: Vec<lift_fleet::PromptPart>,
    },
}
