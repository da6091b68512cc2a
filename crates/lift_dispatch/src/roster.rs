//! Backend servers by service.

use std::sync;

use crate::backend;

/// The backend servers that take requests, by service. It is rebuilt from the directory when
/// that changes, and read by many requests.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    services: indexmap::IndexMap<lift_types::ServiceId, Vec<sync::Arc<backend::Backend>>>,
}

impl Roster {
    /// Takes the ready backend servers of `directory`. `region_of` names the region of a
    /// failure domain.
    pub fn new(
        directory: &lift_fleet::Directory,
        region_of: impl Fn(&str) -> Option<lift_types::RegionId>,
    ) -> Self {
        let mut services = indexmap::IndexMap::<_, Vec<_>>::new();
        for record in directory.records() {
            let said = &record.announcement;
            if said.state != lift_fleet::BackendState::Ready {
                continue;
            }
            let backend = backend::Backend {
                id: said.id.clone(),
                address: said.address,
                region: region_of(&said.failure_domain),
                slots: said.slots.max(1),
                models: said.models.clone(),
                is_silent: record.is_silent,
            };
            let backends = services.entry(said.service.clone()).or_default();
            backends.push(sync::Arc::new(backend));
        }
        Self { services }
    }

    /// Backend servers of a service.
    pub fn backends(&self, service: &str) -> &[sync::Arc<backend::Backend>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Number of backend servers.
    pub fn len(&self) -> usize {
        self.services.values().map(Vec::len).sum()
    }

    /// Whether no backend server takes requests.
    pub fn is_empty(&self) -> bool {
        self.services.values().all(Vec::is_empty)
    }
}
