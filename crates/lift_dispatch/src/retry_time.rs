//! When a refused caller should come back.

use std::time;

/// Callers wait for at most this fraction, one third, of their remaining time before a retry.
const HONOURED_DIVISOR: u32 = 3;

/// Time for which a fleet that is full stays so at least. Callers that come back sooner find the
/// same shortage, however short the requests are.
const MIN_SHORTAGE: time::Duration = time::Duration::from_secs(1);

/// Start of the interval over which callers are spread, as a share of its end.
const SPREAD_START: f64 = 0.5;

/// Width of the interval over which callers are spread that can't be served before their deadline,
/// as a share of the time after which there is room.
const LATE_SPREAD: f64 = 0.5;

/// Chooses when a refused caller should come back.
#[derive(Clone, Copy, Debug)]
pub struct RetryTime {
    /// Time after which there is room.
    pub room_after: time::Duration,
    /// Time that an answer takes.
    pub answer_time: time::Duration,
    /// Time for which the caller still waits.
    pub time_left: time::Duration,
}

impl RetryTime {
    /// The time, spread by a random number from 0 up to 1. It is within the third of the time left
    /// that callers honour, unless the answer could not be complete before the deadline. Then it is
    /// the time after which there is room, so that the caller is not refused again.
    pub fn choose(&self, draw: f64) -> time::Duration {
        let honoured = self.time_left / HONOURED_DIVISOR;
        if self.misses_deadline() {
            return self.room_after.mul_f64(1.0 + LATE_SPREAD * draw);
        }
        let end = self.room_after.max(MIN_SHORTAGE).min(honoured);
        end.mul_f64(SPREAD_START + (1.0 - SPREAD_START) * draw)
    }

    /// Whether no answer can be complete before the deadline.
    pub fn misses_deadline(&self) -> bool {
        self.room_after + self.answer_time > self.time_left
    }
}
