//! Admission of the requests of all services.

use std::time;

/// Number of shards of the state of services.
const SHARDS: usize = 8;

/// Counters of each rank, by its priority for the engine.
const RANK_COUNTERS: [&str; 10] = [
    "admission.rank_0",
    "admission.rank_1",
    "admission.rank_2",
    "admission.rank_3",
    "admission.rank_4",
    "admission.rank_5",
    "admission.rank_6",
    "admission.rank_7",
    "admission.rank_8",
    "admission.rank_9",
];

/// Admission of the requests of each service, and what is known of the callers of each route.
/// Sharded by the name of the service, or by host name and prefix of the route.
#[derive(Debug)]
pub(crate) struct Admissions {
    callers: lift_shard::Shards<indexmap::IndexMap<String, lift_dispatch::ReturningCallers>>,
    services: lift_shard::Shards<
        indexmap::IndexMap<lift_types::ServiceId, lift_dispatch::ServiceAdmission>,
    >,
}

impl Admissions {
    pub(crate) fn new() -> Self {
        Self {
            callers: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            services: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
        }
    }

    /// Records a request on a route whose caller waits for `time_left`, and returns whether that
    /// caller has probably been refused before.
    pub(crate) fn record_caller(
        &self,
        route: &lift_fleet::Route,
        now: time::Instant,
        time_left: time::Duration,
    ) -> bool {
        let key = route_key(route);
        self.callers.with(&key, |routes| {
            let callers = routes.entry(key.clone()).or_default();
            callers.record(now, time_left)
        })
    }

    /// Drops what is known of routes and services that are not in `table`.
    pub(crate) fn retain(&self, table: &lift_fleet::RoutingTable) {
        let keys: indexmap::IndexSet<_> = table.routes().map(|r| route_key(r)).collect();
        self.callers
            .for_each(|routes| routes.retain(|key, _| keys.contains(key)));
        self.services
            .for_each(|services| services.retain(|name, _| table.service(name).is_some()));
    }

    /// Calls `update` with the admission of a service.
    pub(crate) fn with<R>(
        &self,
        service: &str,
        update: impl FnOnce(&mut lift_dispatch::ServiceAdmission) -> R,
    ) -> R {
        self.services
            .with(service, |services| match services.get_mut(service) {
                Some(admission) => update(admission),
                None => update(services.entry(String::from(service)).or_default()),
            })
    }
}

/// Key of a route. Routes may share a name, so host name and prefix are used.
fn route_key(route: &lift_fleet::Route) -> String {
    format!("{}{}", route.host, route.prefix)
}

/// Increments `event` in the counters of the rank at `place`.
pub(crate) fn count(
    counters: &lift_obs::Counters,
    place: lift_dispatch::RankPlace,
    event: &'static str,
) {
    let group = RANK_COUNTERS[usize::from(place.engine_priority()) % RANK_COUNTERS.len()];
    counters.increment_member(group, event);
}
