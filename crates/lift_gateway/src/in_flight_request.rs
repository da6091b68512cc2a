//! A request in progress at a backend server.

use std::sync;

use crate::shared;

/// Counts one request in the load of a backend server until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    shared: sync::Arc<shared::Shared>,
    backend: sync::Arc<lift_dispatch::Backend>,
    ticket: lift_dispatch::Ticket,
}

impl InFlightRequest {
    /// Adds a request to the load of `backend`. The capacity was checked earlier, under another
    /// lock, so two requests may get the last slot of a backend server; one of them waits in
    /// the server's queue.
    pub(crate) fn start(
        shared: &sync::Arc<shared::Shared>,
        backend: sync::Arc<lift_dispatch::Backend>,
    ) -> Self {
        let now = lift_clock::now();
        let start = |load: &mut lift_dispatch::BackendLoad| load.start_request(now);
        let ticket = shared.loads.update(backend.address, start);
        Self {
            shared: sync::Arc::clone(shared),
            backend,
            ticket,
        }
    }

    /// Records that the head of the answer has arrived.
    pub(crate) fn receive_head(&self) {
        self.shared
            .loads
            .update(self.backend.address, |load| load.receive_head(self.ticket));
    }

    /// The backend server that the request was sent to.
    pub(crate) fn backend(&self) -> &lift_dispatch::Backend {
        &self.backend
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let address = self.backend.address;
        self.shared
            .loads
            .update(address, |load| load.finish_request(self.ticket));
        self.shared.capacity_changed.notify_one();
    }
}
