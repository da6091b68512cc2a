//! A call in progress on a connection.

/// Controls of a call that its connection keeps.
#[derive(Debug)]
pub(crate) struct InFlight {
    /// Body bytes that may still be sent.
    pub(crate) credit: tokio::sync::Semaphore,
    /// Set when the caller has gone.
    pub(crate) cancelled: tokio_util::sync::CancellationToken,
}

impl InFlight {
    pub(crate) fn new(cancelled: tokio_util::sync::CancellationToken) -> Self {
        let window = lift_wire::CallMessage::WINDOW as usize;
        Self {
            credit: tokio::sync::Semaphore::new(window),
            cancelled,
        }
    }

    /// Adds credit. More than the window is a fault of the other end and is cut.
    pub(crate) fn add_credit(&self, bytes: u32) {
        let window = lift_wire::CallMessage::WINDOW as usize;
        let room = window.saturating_sub(self.credit.available_permits());
        self.credit.add_permits(room.min(bytes as usize));
    }
}
