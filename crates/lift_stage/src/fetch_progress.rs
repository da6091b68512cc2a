//! Whether a transfer goes on.

use std::time;

/// Time without a new piece after which missing pieces are read from the origin, whoever is to
/// read them. The agent that is to read them may run while its backend server is down.
const STUCK_AFTER: time::Duration = time::Duration::from_millis(1_200);

/// Notices that no piece comes any more.
#[derive(Debug)]
pub(crate) struct Progress {
    held: usize,
    since: time::Instant,
}

impl Progress {
    /// Starts with `held` pieces.
    pub(crate) fn new(held: usize) -> Self {
        Self {
            held,
            since: lift_clock::now(),
        }
    }

    /// Whether nothing has come for too long. The time then starts anew.
    pub(crate) fn is_stuck(&mut self, held: usize) -> bool {
        let now = lift_clock::now();
        let is_stuck = held == self.held && now.saturating_duration_since(self.since) > STUCK_AFTER;
        if is_stuck || held != self.held {
            *self = Self { held, since: now };
        }
        is_stuck
    }
}
