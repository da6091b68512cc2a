//! A place at a backend server.

use std::sync;

use crate::shared;

/// Counts one request at a backend server for as long as it lives.
#[derive(Debug)]
pub(crate) struct Place {
    shared: sync::Arc<shared::Shared>,
    backend: sync::Arc<lift_dispatch::Backend>,
    ticket: lift_dispatch::Ticket,
}

impl Place {
    /// Takes a place. The choice that found it has looked before, so two requests may share
    /// the last place of a backend server, which has a queue for that.
    pub(crate) fn take(
        shared: &sync::Arc<shared::Shared>,
        backend: sync::Arc<lift_dispatch::Backend>,
    ) -> Self {
        let now = lift_clock::now();
        let begin = |load: &mut lift_dispatch::BackendLoad| load.start_request(now);
        let ticket = shared.loads.change(backend.address, begin);
        Self {
            shared: sync::Arc::clone(shared),
            backend,
            ticket,
        }
    }

    /// Notes that the head of an answer has come.
    pub(crate) fn hear(&self) {
        self.shared
            .loads
            .change(self.backend.address, |load| load.receive_head(self.ticket));
    }

    /// The backend server.
    pub(crate) fn backend(&self) -> &lift_dispatch::Backend {
        &self.backend
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let address = self.backend.address;
        self.shared
            .loads
            .change(address, |load| load.finish_request(self.ticket));
        self.shared.room.notify_one();
    }
}
