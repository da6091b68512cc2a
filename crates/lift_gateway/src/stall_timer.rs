//! Detection of streams that have stalled.

use std::time;

/// Stall timeout, in multiples of the target gap between events. Callers disconnect after eight.
const STALL_GAPS: u32 = 5;

/// Shortest stall timeout. Engines pause while they read long prompts.
const MIN_STALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);

/// Time that a stream may still take until its next event. Bytes that complete no event don't
/// count: a stalled backend server may send some now and then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StallTimer {
    timeout: time::Duration,
    since: time::Instant,
}

impl StallTimer {
    /// Starts at `now`, for a stream whose events should be at most `target_gap` apart.
    pub(crate) fn start(now: time::Instant, target_gap: time::Duration) -> Self {
        Self {
            timeout: (target_gap * STALL_GAPS).max(MIN_STALL_TIMEOUT),
            since: now,
        }
    }

    /// Records that an event has arrived, or that the stream was resumed.
    pub(crate) fn restart(&mut self, now: time::Instant) {
        self.since = now;
    }

    /// Time left until the stream counts as stalled.
    pub(crate) fn time_left(&self, now: time::Instant) -> time::Duration {
        (self.since + self.timeout).saturating_duration_since(now)
    }
}
