//! Open-loop load of the request experiment.

use std::{sync, thread, time};

/// Requests in progress at once. More wait, and their waiting counts as latency.
const MAX_IN_PROGRESS: usize = 2_048;

/// Longest sleep of the pacer, so that it ends soon after the run.
const MAX_SLEEP: time::Duration = time::Duration::from_millis(100);

/// Fixed times at which requests are due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestsLoad {
    /// Requests per second.
    pub(crate) rate: u64,
    /// Length of the run.
    pub(crate) length: time::Duration,
}

impl RequestsLoad {
    /// Calls `send` for each request when it is due, on `callers`, and waits for all. A thread
    /// of its own keeps the times, since timers of the runtime are rounded to milliseconds.
    pub(crate) async fn run<F, S>(self, callers: tokio::runtime::Handle, send: S) -> u64
    where
        S: Fn(u64, time::Instant) -> F + Send + Sync + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let places = sync::Arc::new(tokio::sync::Semaphore::new(MAX_IN_PROGRESS));
        let tasks = tokio_util::task::TaskTracker::new();
        let pacer = {
            let tasks = tasks.clone();
            thread::spawn(move || {
                let started = time::Instant::now();
                let gap = time::Duration::from_secs(1).div_f64(self.rate as f64);
                let count = (self.length.as_secs_f64() * self.rate as f64) as u64;
                for request in 0..count {
                    let due = started + gap.mul_f64(request as f64);
                    sleep_until(due);
                    let places = sync::Arc::clone(&places);
                    let sending = send(request, due);
                    tasks.spawn_on(
                        async move {
                            let _place = places.acquire_owned().await;
                            sending.await;
                        },
                        &callers,
                    );
                }
                count
            })
        };
        let count = tokio::task::spawn_blocking(move || pacer.join().unwrap_or_default()).await;
        tasks.close();
        tasks.wait().await;
        count.unwrap_or_default()
    }
}

fn sleep_until(due: time::Instant) {
    loop {
        let left = due.saturating_duration_since(time::Instant::now());
        if left.is_zero() {
            return;
        }
        thread::sleep(left.min(MAX_SLEEP));
    }
}
