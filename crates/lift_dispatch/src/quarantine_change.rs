//! Start and end of the quarantine of a part.

use std::time;

/// A part of prompts whose quarantine has started or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Requests with the part are refused from now on.
    Started {
        /// The part.
        part: lift_fleet::PromptPart,
        /// Number of backend servers that ended one after the other while they worked on it.
        ends: usize,
        /// How long the quarantine lasts.
        lasts: time::Duration,
    },
    /// An answer to a request with the part was complete, so the part crashes no backend servers.
    Answered {
        /// The part.
        part: lift_fleet::PromptPart,
    },
    /// The time of the quarantine has passed.
    Expired {
        /// The part.
        part: lift_fleet::PromptPart,
    },
}
