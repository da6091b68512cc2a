//! A node that follows the backend servers and the evacuations.

#[derive(Debug, Default)]
pub(crate) struct Observer {
    backends: parking_lot::Mutex<Vec<lift_fleet::Announcement>>,
    evacuations: parking_lot::Mutex<lift_fleet::Evacuations>,
}

impl Observer {
    /// Sequence of the last announcement of backend server `id` that was received.
    pub(crate) fn sequence(&self, id: &str) -> Option<u64> {
        let backends = self.backends.lock();
        let last = backends.iter().rfind(|said| said.id == id);
        last.map(|said| said.sequence)
    }

    /// The evacuations that were received last.
    pub(crate) fn evacuations(&self) -> lift_fleet::Evacuations {
        self.evacuations.lock().clone()
    }
}

impl lift_feed::FleetObserver for Observer {
    fn on_backends(&self, records: Vec<lift_fleet::BackendRecord>) {
        let said = records.into_iter().map(|record| record.announcement);
        self.backends.lock().extend(said);
    }

    fn on_evacuations(&self, evacuations: &lift_fleet::Evacuations) {
        *self.evacuations.lock() = evacuations.clone();
    }
}
