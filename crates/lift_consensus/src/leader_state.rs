//! What only a leader keeps.

use std::time;

use crate::progress;

/// State of the leader of one term.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) progress: indexmap::IndexMap<lift_types::MemberId, progress::Progress>,
    /// Position of the entry that opened the term.
    pub(crate) opened: lift_types::LogIndex,
    /// When the commands of earlier terms were applied.
    pub(crate) since: Option<time::Instant>,
    pub(crate) started: time::Instant,
    pub(crate) heartbeat_due: time::Instant,
    /// Follower that gets the lead, and when the attempt ends.
    pub(crate) transfer: Option<(lift_types::MemberId, time::Instant)>,
}
