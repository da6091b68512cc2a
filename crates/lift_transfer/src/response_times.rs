//! Response times of chunk requests.

use std::time;

/// Weight of the newest response time in the average is one in this number.
const AVERAGE_OVER: u32 = 8;

/// Time-out as a multiple of the average response time.
const TIMEOUT_FACTOR: u32 = 5;

/// Time after which a request is hedged, as a multiple of the average response time.
const HEDGE_FACTOR: u32 = 2;

/// Longest time-out.
const MAX_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Moving average of response times, from which time-outs follow, so that they fit slow
/// and fast links alike.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResponseTimes {
    average: Option<time::Duration>,
}

impl ResponseTimes {
    pub(crate) fn record(&mut self, elapsed: time::Duration) {
        let average = self.average.unwrap_or(elapsed);
        self.average = Some((average * (AVERAGE_OVER - 1) + elapsed) / AVERAGE_OVER);
    }

    /// Raises the average after a time-out, so that a link that has become slow is not
    /// asked again and again.
    pub(crate) fn record_timeout(&mut self) {
        self.average = self.average.map(|average| average * 2);
    }

    pub(crate) fn timeout(
        &self,
        first: time::Duration,
        shortest: time::Duration,
    ) -> time::Duration {
        let Some(average) = self.average else {
            return first;
        };
        (average * TIMEOUT_FACTOR).clamp(shortest, MAX_TIMEOUT)
    }

    pub(crate) fn hedge_after(&self) -> Option<time::Duration> {
        Some(self.average? * HEDGE_FACTOR)
    }
}
