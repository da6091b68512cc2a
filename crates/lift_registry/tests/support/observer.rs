//! A node that follows the backend servers.

#[derive(Debug, Default)]
pub(crate) struct Observer {
    backends: parking_lot::Mutex<Vec<lift_fleet::Announcement>>,
}

impl Observer {
    /// Sequence of the last announcement of backend server `id` that was received.
    pub(crate) fn sequence(&self, id: &str) -> Option<u64> {
        let backends = self.backends.lock();
        let last = backends.iter().rfind(|said| said.id == id);
        last.map(|said| said.sequence)
    }
}

impl lift_feed::FleetObserver for Observer {
    fn on_backends(&self, records: Vec<lift_fleet::BackendRecord>) {
        let said = records.into_iter().map(|record| record.announcement);
        self.backends.lock().extend(said);
    }
}
