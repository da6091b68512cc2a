//! Whether an older version is finished before a newer one is fetched.

use std::time;

use crate::version_decision;

/// Time in which a backend server completes its requests and loads.
const LOAD_TIME: time::Duration = time::Duration::from_millis(1_900);

/// Shortest time for which a version must serve to be worth its load.
const MIN_USE: time::Duration = time::Duration::from_millis(1_000);

/// An older version is nearly complete if a newer one would take this many times as long. With 2,
/// more service is lost than saved where the origin goes away while the older one is loaded.
const NEARLY_COMPLETE_FACTOR: u32 = 4;

/// Longest time for finishing the older version, as a multiple of the expected one.
const FINISH_FACTOR: u32 = 2;

/// Time that is added to it for messages and writes of the last pieces.
const FINISH_MARGIN: time::Duration = time::Duration::from_millis(300);

/// What is known when a newer version is set while an older one is being fetched.
///
/// The staging area holds one copy, so the older version is lost as soon as the newer one is
/// fetched. If the origin goes away then, servers have neither. All agents decide by the same
/// times and by pieces that they exchange, so that they mostly decide alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionChoice {
    /// Pieces of the older version that this host lacks.
    pub missing: u32,
    /// Those of them that no agent is known to hold.
    pub without_holder: u32,
    /// Pieces of a version.
    pub pieces: u32,
    /// Whether the origin answers.
    pub origin_answers: bool,
    /// Whether the origin has dropped the older version.
    pub is_dropped: bool,
    /// Time in which a piece leaves the origin.
    pub origin_piece_time: time::Duration,
    /// Time in which this host gets a piece.
    pub link_piece_time: time::Duration,
    /// Time from the last piece to the order to load, so that not all servers load at once.
    pub turn: time::Duration,
    /// Time until the older version gets no more requests, which is that of the newer one.
    pub time_left: time::Duration,
    /// Whether finishing the older version has taken longer than it may.
    pub is_overdue: bool,
    /// Whether an older version has been loaded already before this newer one.
    pub has_finished: bool,
}

impl VersionChoice {
    /// Decides which version to read next. It is decided again while the older one is finished.
    pub fn decide(&self) -> version_decision::VersionDecision {
        use version_decision::VersionDecision as Decision;
        let older = self.older_time();
        let newer = self
            .origin_piece_time
            .max(self.link_piece_time)
            .saturating_mul(self.pieces);
        let in_place = older.saturating_add(self.turn + LOAD_TIME);
        if self.has_finished {
            Decision::NewerAfterFinish
        } else if self.is_overdue && self.missing > 0 && self.origin_answers {
            Decision::NewerOlderOverdue
        } else if self.without_holder > 0 && self.is_dropped {
            Decision::NewerOlderDropped
        } else if in_place.saturating_add(MIN_USE) > self.time_left {
            Decision::NewerOlderTooLate
        } else if in_place.saturating_add(newer).saturating_add(LOAD_TIME) > self.time_left {
            Decision::NewerWouldBeLate
        } else if self.without_holder > 0 && !self.origin_answers {
            // The newer version can't be read either, and other agents may have the pieces.
            Decision::OlderOriginAway
        } else if older.saturating_mul(NEARLY_COMPLETE_FACTOR) > newer {
            Decision::NewerOlderIncomplete
        } else if !self.turn.is_zero() && self.origin_answers {
            // Half of the servers load the older version, which is enough if the origin goes away.
            Decision::NewerOlderWaits
        } else {
            Decision::OlderNearlyComplete
        }
    }

    /// Longest time for which the older version is read on while the origin answers. Agents that
    /// have dropped it may be those that were to read the missing pieces.
    pub fn max_finish_time(&self) -> time::Duration {
        self.older_time()
            .saturating_mul(FINISH_FACTOR)
            .saturating_add(FINISH_MARGIN)
    }

    fn older_time(&self) -> time::Duration {
        let from_origin = self.origin_piece_time.saturating_mul(self.without_holder);
        from_origin.max(self.link_piece_time.saturating_mul(self.missing))
    }
}
