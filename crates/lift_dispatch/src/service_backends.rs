//! Backend servers by service.

use std::sync;

use crate::backend;

/// Backend servers that accept requests, by service. Rebuilt whenever the directory or the
/// evacuated failure domains change, and read by many requests.
#[derive(Clone, Debug, Default)]
pub struct ServiceBackends {
    services: indexmap::IndexMap<lift_types::ServiceId, Vec<sync::Arc<backend::Backend>>>,
    /// Number of ready backend servers of each service in evacuated failure domains.
    evacuated: indexmap::IndexMap<lift_types::ServiceId, usize>,
}

impl ServiceBackends {
    /// Collects the ready backend servers of `directory` that are in no evacuated failure domain.
    /// `region_of` maps a failure domain to its region.
    pub fn new(
        directory: &lift_fleet::Directory,
        evacuations: &lift_fleet::Evacuations,
        region_of: impl Fn(&str) -> Option<lift_types::RegionId>,
    ) -> Self {
        let mut services = indexmap::IndexMap::<_, Vec<_>>::new();
        let mut evacuated = indexmap::IndexMap::<_, usize>::new();
        for record in directory.records() {
            let announcement = &record.announcement;
            if announcement.state != lift_fleet::BackendState::Ready {
                continue;
            }
            if evacuations.contains(&announcement.failure_domain) {
                *evacuated.entry(announcement.service.clone()).or_default() += 1;
                continue;
            }
            let backend = backend::Backend {
                id: announcement.id.clone(),
                address: announcement.address,
                region: region_of(&announcement.failure_domain),
                failure_domain: announcement.failure_domain.clone(),
                slots: announcement.slots.max(1),
                models: announcement.models.clone(),
                is_silent: record.is_silent,
            };
            let backends = services.entry(announcement.service.clone()).or_default();
            backends.push(sync::Arc::new(backend));
        }
        Self {
            services,
            evacuated,
        }
    }

    /// Backend servers of a service, empty for an unknown one.
    pub fn backends(&self, service: &str) -> &[sync::Arc<backend::Backend>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Services and their backend servers.
    pub fn services(&self) -> impl Iterator<Item = (&str, &[sync::Arc<backend::Backend>])> {
        let services = self.services.iter();
        services.map(|(service, backends)| (service.as_str(), backends.as_slice()))
    }

    /// Number of backend servers of all services.
    pub fn len(&self) -> usize {
        self.services.values().map(Vec::len).sum()
    }

    /// Number of ready backend servers of all services that are left out because their failure
    /// domain is evacuated.
    pub fn evacuated(&self) -> usize {
        self.evacuated.values().sum()
    }

    /// Whether all ready backend servers of a service, of which there are some, are in evacuated
    /// failure domains.
    pub fn is_evacuated(&self, service: &str) -> bool {
        self.backends(service).is_empty() && self.evacuated.contains_key(service)
    }

    /// Whether no backend server of any service accepts requests.
    pub fn is_empty(&self) -> bool {
        self.services.values().all(Vec::is_empty)
    }
}
