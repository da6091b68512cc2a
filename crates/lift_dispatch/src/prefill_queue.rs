//! Prompts that wait for an engine to read them.

use std::time;

/// Estimates the length of an engine's prefill queue from the number of its requests.
///
/// An engine accepts requests at once but reads their prompts one after the other. If many
/// requests arrive together, most of their first events are late although there was a slot for
/// each request. A request that finishes between two samples hides one that has started, so
/// the estimate is a lower bound for a busy engine and exact for one that fills up.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillQueue {
    queued: f64,
    last: Option<(u32, time::Instant)>,
}

impl PrefillQueue {
    /// Records that the engine has `requests` at `now`, and returns how many of their prompts
    /// are still to be read. `prefill_time` is the time to read one prompt; if it is zero, all
    /// prompts count as read by the next sample.
    pub fn record_sample(
        &mut self,
        now: time::Instant,
        requests: u32,
        prefill_time: time::Duration,
    ) -> u32 {
        if let Some((before, at)) = self.last.replace((requests, now)) {
            let elapsed = now.saturating_duration_since(at).as_secs_f64();
            let read = elapsed / prefill_time.as_secs_f64().max(f64::MIN_POSITIVE);
            let started = f64::from(requests.saturating_sub(before));
            self.queued = (self.queued - read).max(0.0) + started;
        }
        self.queued = self.queued.min(f64::from(requests));
        self.queued.round() as u32
    }
}
