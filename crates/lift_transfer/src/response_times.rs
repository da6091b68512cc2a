//! Response times of chunk requests.

use std::time;

/// Inverse of the weight that the newest response time has in the moving average.
const AVERAGE_DIVISOR: u32 = 8;

/// Timeout as a multiple of the average response time.
const TIMEOUT_FACTOR: u32 = 5;

/// Time after which a request is hedged, as a multiple of the average response time.
const HEDGE_FACTOR: u32 = 2;

/// Maximum timeout.
const MAX_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Moving average of response times. Timeouts are derived from it, so that they suit slow and
/// fast links alike.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResponseTimes {
    average: Option<time::Duration>,
}

impl ResponseTimes {
    pub(crate) fn record(&mut self, elapsed: time::Duration) {
        let average = self.average.unwrap_or(elapsed);
        self.average = Some((average * (AVERAGE_DIVISOR - 1) + elapsed) / AVERAGE_DIVISOR);
    }

    /// Doubles the average after a timeout, so that requests on a link that has become slow do
    /// not time out repeatedly.
    pub(crate) fn record_timeout(&mut self) {
        self.average = self.average.map(|average| average * 2);
    }

    pub(crate) fn timeout(
        &self,
        first_timeout: time::Duration,
        min_timeout: time::Duration,
    ) -> time::Duration {
        let Some(average) = self.average else {
            return first_timeout;
        };
        (average * TIMEOUT_FACTOR).clamp(min_timeout, MAX_TIMEOUT)
    }

    pub(crate) fn hedge_after(&self) -> Option<time::Duration> {
        Some(self.average? * HEDGE_FACTOR)
    }
}
