//! Log lines about single requests.

use std::{sync, time};

/// Sustained rate, in lines per second. Further lines are dropped and counted, so that the log
/// stays bounded under high load.
const MAX_LINES_PER_S: u32 = 200;

/// Lines that may be written at once, beyond the sustained rate.
const MAX_BURST_LINES: u32 = 400;

/// Writes log lines about single requests, up to a maximum rate.
#[derive(Debug)]
pub(crate) struct RequestLog {
    logger: slog::Logger,
    counters: sync::Arc<lift_obs::Counters>,
    rate_limit: parking_lot::Mutex<lift_route::TokenBucket>,
}

impl RequestLog {
    pub(crate) fn new(logger: slog::Logger, counters: sync::Arc<lift_obs::Counters>) -> Self {
        let rate_limit = lift_route::TokenBucket::new(time::Instant::now(), MAX_BURST_LINES);
        Self {
            logger,
            counters,
            rate_limit: parking_lot::Mutex::new(rate_limit),
        }
    }

    /// The logger without the rate limit, for lines that are not about a single request.
    pub(crate) fn logger(&self) -> &slog::Logger {
        &self.logger
    }

    /// Calls `write` with the logger, unless the rate limit is exceeded.
    pub(crate) fn write_limited(&self, write: impl FnOnce(&slog::Logger)) {
        let now = time::Instant::now();
        if self
            .rate_limit
            .lock()
            .take(now, MAX_LINES_PER_S, MAX_BURST_LINES)
        {
            write(&self.logger);
        } else {
            self.counters.increment("log.lines_dropped");
        }
    }
}
