//! State that only a leader has.

use std::time;

use crate::progress;

/// State of a leader during one term.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) progress: indexmap::IndexMap<lift_types::MemberId, progress::Progress>,
    /// Index of the first entry of this term.
    pub(crate) first_index: lift_types::LogIndex,
    /// Time at which all commands of earlier terms were applied.
    pub(crate) ready_since: Option<time::Instant>,
    pub(crate) started: time::Instant,
    pub(crate) heartbeat_due: time::Instant,
    /// Target of a leadership transfer in progress, and the time at which the transfer fails.
    pub(crate) transfer: Option<(lift_types::MemberId, time::Instant)>,
}
