//! Requests and their arrivals at all backend servers.

use std::time;

use crate::{process_settings, retry_window};

/// Window in which repeats are counted.
pub(crate) const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Times of requests, and of arrivals beyond the first of each.
#[derive(Debug, Default)]
struct Times {
    sent: Vec<time::Instant>,
    arrived: indexmap::IndexSet<String>,
    repeats: Vec<time::Instant>,
}

/// Book of a retry storm.
#[derive(Debug, Default)]
pub(crate) struct RetryBook {
    times: parking_lot::Mutex<Times>,
}

impl RetryBook {
    /// A caller sends a request on an open connection.
    pub(crate) fn sent(&self) {
        self.times.lock().sent.push(time::Instant::now());
    }

    /// The request `id` arrives at a backend server.
    pub(crate) fn arrive(&self, id: String) {
        let mut times = self.times.lock();
        if !times.arrived.insert(id) {
            times.repeats.push(time::Instant::now());
        }
    }

    /// Requests that have arrived.
    pub(crate) fn arrived(&self) -> u64 {
        self.times.lock().arrived.len() as u64
    }

    /// The window in which the largest part of the allowed repeats was used. Requests count in the
    /// window itself, the one before it or the one half a window before it, whichever has most. See
    /// `docs/platform.md`.
    pub(crate) fn worst_window(&self) -> Option<retry_window::RetryWindow> {
        let times = self.times.lock();
        let windows = times.repeats.iter().map(|end| {
            let requests = [time::Duration::ZERO, WINDOW / 2, WINDOW]
                .map(|earlier| count_in_window(&times.sent, *end - earlier));
            let requests = requests.into_iter().max().unwrap_or_default();
            retry_window::RetryWindow {
                repeats: count_in_window(&times.repeats, *end),
                requests,
                allowed: process_settings::REPEAT_SHARE * requests as f64
                    + process_settings::REPEAT_BURST,
            }
        });
        windows.max_by(|a, b| a.used_part().total_cmp(&b.used_part()))
    }
}

/// Times within the window that ends at `end`, its end included. They are sorted.
fn count_in_window(times: &[time::Instant], end: time::Instant) -> u64 {
    let before_end = times.partition_point(|at| *at <= end);
    let before_start = times.partition_point(|at| *at + WINDOW <= end);
    (before_end - before_start) as u64
}
