//! Prompts that an engine has not read yet.

use std::time;

/// Estimates from the number of requests at an engine how many prompts wait to be read.
///
/// An engine takes requests at once but reads their prompts one after the other, so that many
/// requests that come together have their first event late although there was a place for each.
/// Requests that end between two samples hide as many that began: the estimate is a lower bound
/// while an engine is busy, and is right for one that fills up.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadQueue {
    unread: f64,
    last: Option<(u32, time::Instant)>,
}

impl ReadQueue {
    /// Takes in that there are `requests` at `now`, and returns how many of them wait to be
    /// read. `read_time` is the time to read one prompt.
    pub fn sample(&mut self, now: time::Instant, requests: u32, read_time: time::Duration) -> u32 {
        if let Some((before, at)) = self.last.replace((requests, now)) {
            let passed = now.saturating_duration_since(at).as_secs_f64();
            let read = passed / read_time.as_secs_f64().max(f64::MIN_POSITIVE);
            let begun = f64::from(requests.saturating_sub(before));
            self.unread = (self.unread - read).max(0.0) + begun;
        }
        self.unread = self.unread.min(f64::from(requests));
        self.unread.round() as u32
    }
}
