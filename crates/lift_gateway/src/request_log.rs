//! Log lines of decisions on requests.

use std::{sync, time};

/// Lines in a second that are always written. Beyond them lines are dropped and counted, so
/// that the log stays bounded when callers press.
const LINES_PER_S: u32 = 200;

/// Lines that may come at once.
const BURST: u32 = 400;

/// Writes one line for each decision on a request, up to a rate.
#[derive(Debug)]
pub(crate) struct RequestLog {
    logger: slog::Logger,
    counters: sync::Arc<lift_obs::Counters>,
    quota: parking_lot::Mutex<lift_route::TokenBucket>,
}

impl RequestLog {
    pub(crate) fn new(logger: slog::Logger, counters: sync::Arc<lift_obs::Counters>) -> Self {
        let quota = lift_route::TokenBucket::new(time::Instant::now(), BURST);
        Self {
            logger,
            counters,
            quota: parking_lot::Mutex::new(quota),
        }
    }

    /// The logger, for lines that concern no single request.
    pub(crate) fn logger(&self) -> &slog::Logger {
        &self.logger
    }

    /// Calls `write` with the logger, unless too many lines were written lately.
    pub(crate) fn decision(&self, write: impl FnOnce(&slog::Logger)) {
        let now = time::Instant::now();
        if self.quota.lock().take(now, LINES_PER_S, BURST) {
            write(&self.logger);
        } else {
            self.counters.increment("log.lines_dropped");
        }
    }
}
