//! State that a download keeps for one source.

use std::time;

/// Pause after a source has refused a request without giving a time.
const BUSY_PAUSE: time::Duration = time::Duration::from_millis(4);

/// Pause after the first fault of an agent; it doubles with each further fault.
const FAULT_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Pause after a fault of the origin.
const ORIGIN_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Maximum number of doublings of the pause after faults: from 500 ms to 32 s.
const MAX_FAULT_DOUBLINGS: u32 = 6;

/// Number of valid chunks in a row that cancel one fault.
const SUCCESSES_PER_FAULT: u32 = 32;

/// Chunks, requests in flight and faults of one agent, or of the origin.
#[derive(Clone, Debug)]
pub(crate) struct DownloadPeer {
    pub(crate) have: Vec<bool>,
    pub(crate) is_neighbour: bool,
    /// Whether the agent has announced its chunks of this version, even if there are none.
    pub(crate) has_announced: bool,
    pub(crate) in_flight: usize,
    /// Number of corrupt chunks and timeouts. An agent with fewer faults is chosen first.
    pub(crate) faults: u32,
    successes: u32,
    pub(crate) paused_until: Option<time::Instant>,
}

impl DownloadPeer {
    pub(crate) fn new(chunks: usize) -> Self {
        Self {
            have: vec![false; chunks],
            is_neighbour: false,
            has_announced: false,
            in_flight: 0,
            faults: 0,
            successes: 0,
            paused_until: None,
        }
    }

    pub(crate) fn is_ready(&self, now: time::Instant, max_in_flight: usize) -> bool {
        self.in_flight < max_in_flight && self.paused_until.is_none_or(|until| until <= now)
    }

    pub(crate) fn pause_after_refusal(
        &mut self,
        now: time::Instant,
        retry_after: Option<time::Duration>,
    ) {
        self.pause(now + retry_after.unwrap_or(BUSY_PAUSE));
    }

    /// Counts a valid chunk. [`SUCCESSES_PER_FAULT`] of them in a row cancel one fault.
    pub(crate) fn record_success(&mut self) {
        self.successes += 1;
        if self.successes == SUCCESSES_PER_FAULT {
            self.successes = 0;
            self.faults = self.faults.saturating_sub(1);
        }
    }

    /// Pauses the origin after a fault. No other source can replace it, so the pause stays
    /// short.
    pub(crate) fn pause_after_origin_fault(&mut self, now: time::Instant) {
        self.pause(now + ORIGIN_PAUSE);
    }

    pub(crate) fn pause_after_fault(&mut self, now: time::Instant) {
        let doublings = self.faults.min(MAX_FAULT_DOUBLINGS);
        self.faults = self.faults.saturating_add(1);
        self.successes = 0;
        self.pause(now + FAULT_PAUSE * 2_u32.pow(doublings));
    }

    fn pause(&mut self, until: time::Instant) {
        self.paused_until = Some(self.paused_until.map_or(until, |old| old.max(until)));
    }
}
