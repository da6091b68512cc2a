//! Arrivals in one window of time.

/// How many requests came in a window, and how many arrivals beyond the first of each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryWindow {
    /// Arrivals at backend servers beyond the first of each request.
    pub repeats: u64,
    /// Requests that callers sent.
    pub requests: u64,
    /// Most repeats that are allowed for these requests.
    pub allowed: f64,
}

impl RetryWindow {
    /// Part of the allowed repeats that was used, over 1 if there were more.
    pub fn used_part(&self) -> f64 {
        self.repeats as f64 / self.allowed
    }
}
