//! Flow control and cancellation of a call in progress.

/// Credit and cancellation of a call, shared between its connection and the task that runs it.
#[derive(Debug)]
pub(crate) struct InFlightCall {
    /// Number of body bytes that may still be sent.
    pub(crate) credit: tokio::sync::Semaphore,
    /// Cancelled when the entry cancels the call or the connection is closed.
    pub(crate) cancelled: tokio_util::sync::CancellationToken,
}

impl InFlightCall {
    pub(crate) fn new(cancelled: tokio_util::sync::CancellationToken) -> Self {
        let window = lift_wire::CallMessage::WINDOW as usize;
        Self {
            credit: tokio::sync::Semaphore::new(window),
            cancelled,
        }
    }

    /// Adds credit, up to the window. Credit above the window is a fault of the entry and is
    /// ignored.
    pub(crate) fn add_credit(&self, bytes: u32) {
        let window = lift_wire::CallMessage::WINDOW as usize;
        let max_added = window.saturating_sub(self.credit.available_permits());
        self.credit.add_permits(max_added.min(bytes as usize));
    }
}
