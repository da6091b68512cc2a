//! How long a process has run.

use std::time;

/// Time since the start of a process without its pauses, in which it can do nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunClock {
    started_at: time::Instant,
    paused_at: Option<time::Instant>,
    /// Sum of the pauses that are over.
    paused: time::Duration,
}

impl RunClock {
    pub(crate) fn start() -> Self {
        Self {
            started_at: time::Instant::now(),
            paused_at: None,
            paused: time::Duration::ZERO,
        }
    }

    pub(crate) fn pause(&mut self) {
        self.paused_at.get_or_insert_with(time::Instant::now);
    }

    pub(crate) fn resume(&mut self) {
        if let Some(paused_at) = self.paused_at.take() {
            self.paused += paused_at.elapsed();
        }
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.paused_at.is_some()
    }

    /// Time for which the process has run.
    pub(crate) fn elapsed(&self) -> time::Duration {
        let until = self.paused_at.unwrap_or_else(time::Instant::now);
        until.duration_since(self.started_at) - self.paused
    }
}
