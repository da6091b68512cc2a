//! Requests that leave their failure domain.

use std::sync;

/// What the selection needs to know of other failure domains, by service. It is made anew whenever
/// the configuration, the backend servers or the gateways change, and read for each request.
///
/// Nothing is known where the deployment sets no costs: then each region keeps a fixed part of its
/// servers and another region has a fixed cost. See `docs/design/locality.md`.
#[derive(Debug)]
pub(crate) struct Locality {
    location: lift_types::Location,
    costs: Option<lift_dispatch::LocalityCosts>,
    distances: parking_lot::RwLock<ByService<lift_dispatch::Distances>>,
    balances: parking_lot::RwLock<ByService<lift_dispatch::RegionBalance>>,
}

/// Backend servers and gateways that are known.
type Lists = (
    sync::Arc<lift_dispatch::ServiceBackends>,
    sync::Arc<lift_dispatch::GatewayShares>,
);

type ByService<T> = indexmap::IndexMap<lift_types::ServiceId, sync::Arc<T>>;

impl Locality {
    pub(crate) fn new(
        location: lift_types::Location,
        costs: Option<lift_dispatch::LocalityCosts>,
    ) -> Self {
        Self {
            location,
            costs,
            distances: parking_lot::RwLock::default(),
            balances: parking_lot::RwLock::default(),
        }
    }

    /// Costs of the ways to the backend servers of a service.
    pub(crate) fn distances(&self, service: &str) -> Option<sync::Arc<lift_dispatch::Distances>> {
        self.distances.read().get(service).cloned()
    }

    /// Division of the backend servers of a service between regions.
    pub(crate) fn balance(&self, service: &str) -> Option<sync::Arc<lift_dispatch::RegionBalance>> {
        self.balances.read().get(service).cloned()
    }

    pub(crate) fn set_table(&self, table: &lift_fleet::RoutingTable) {
        let Some(costs) = self.costs else {
            return;
        };
        let distances = |service: &lift_fleet::Service| {
            let delays = service
                .engine
                .as_ref()
                .map(|engine| engine.delays.as_slice());
            let delays = delays.unwrap_or_default();
            let distances = lift_dispatch::Distances::new(&self.location, costs, delays);
            (service.name.clone(), sync::Arc::new(distances))
        };
        *self.distances.write() = table.services().map(distances).collect();
    }

    /// Divides the backend servers between the regions of the gateways anew. `newest` returns both
    /// lists; it is called under the lock, so that an older division never replaces a newer one.
    pub(crate) fn balance_regions(&self, newest: &dyn Fn() -> Lists) {
        if self.costs.is_none() {
            return;
        }
        let mut held = self.balances.write();
        let (backends, gateways) = newest();
        let balances = backends.services().map(|(service, backends)| {
            let capacities = capacities(backends, &gateways);
            let balance = lift_dispatch::RegionBalance::new(&capacities);
            (String::from(service), sync::Arc::new(balance))
        });
        *held = balances.collect();
    }
}

/// Slots and gateways of each region. Servers that are silent or whose region is unknown are left
/// out.
fn capacities(
    backends: &[sync::Arc<lift_dispatch::Backend>],
    gateways: &lift_dispatch::GatewayShares,
) -> Vec<lift_dispatch::RegionCapacity> {
    let mut regions = indexmap::IndexMap::<&str, lift_dispatch::RegionCapacity>::new();
    for (region, count) in gateways.region_counts() {
        regions.entry(region).or_default().gateways = f64::from(count);
    }
    for backend in backends.iter().filter(|backend| !backend.is_silent) {
        if let Some(region) = backend.region.as_deref() {
            regions.entry(region).or_default().slots += f64::from(backend.slots);
        }
    }
    let capacities = regions
        .into_iter()
        .map(|(region, capacity)| lift_dispatch::RegionCapacity {
            region: String::from(region),
            ..capacity
        });
    capacities.collect()
}
