//! Arrival of the first request of a connection.

use std::sync::atomic;

/// Whether the first request of a connection has arrived.
#[derive(Debug, Default)]
pub(crate) struct FirstRequest {
    has_arrived: atomic::AtomicBool,
    arrived: tokio::sync::Notify,
}

impl FirstRequest {
    /// Records the arrival of a request.
    pub(crate) fn record(&self) {
        if !self.has_arrived.swap(true, atomic::Ordering::AcqRel) {
            self.arrived.notify_one();
        }
    }

    /// Waits for the first request. Only one task may wait.
    pub(crate) async fn wait(&self) {
        if !self.has_arrived.load(atomic::Ordering::Acquire) {
            self.arrived.notified().await;
        }
    }
}
