//! State that the tasks of a gateway share.

use std::{sync, time};

use sync::atomic;

use crate::{
    admissions, backend_loads, backend_pool, cold_servers, dialect, fleet_state, gateway_limits,
    locality, part_guard, request_log,
};

/// Number of shards of the state of services.
const SERVICE_SHARDS: usize = 8;

/// State that the tasks of a gateway share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) location: lift_types::Location,
    pub(crate) limits: gateway_limits::GatewayLimits,
    pub(crate) dialect: sync::Arc<dyn dialect::Dialect>,
    pub(crate) fleet: fleet_state::FleetState,
    pub(crate) loads: backend_loads::BackendLoads,
    pub(crate) cold_servers: cold_servers::ColdServers,
    pub(crate) pool: backend_pool::BackendPool,
    /// Memory of requests and answers in progress.
    pub(crate) budget: sync::Arc<lift_listen::ByteBudget>,
    /// Protection against parts of prompts that crash backend servers.
    pub(crate) parts: part_guard::PartGuard,
    /// Admission of requests by their rank.
    pub(crate) admissions: admissions::Admissions,
    pub(crate) log: request_log::RequestLog,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) latencies: sync::Arc<lift_obs::Histograms>,
    /// Wakes one request that waits for a backend server when a request has finished, a load
    /// report has arrived or a backend server has changed.
    pub(crate) capacity_changed: tokio::sync::Notify,
    pub(crate) is_stopping: atomic::AtomicBool,
    /// When requests in progress are given up, shortly before the process ends. Set once a graceful
    /// stop closes connections.
    pub(crate) stop_end: sync::OnceLock<time::Instant>,
    /// Cancelled at that time.
    pub(crate) giving_up: tokio_util::sync::CancellationToken,
    started_at: time::Instant,
    retry_budgets:
        lift_shard::Shards<indexmap::IndexMap<lift_types::ServiceId, lift_route::RetryBudget>>,
    service_latencies: lift_shard::Shards<
        indexmap::IndexMap<lift_types::ServiceId, lift_dispatch::ServiceLatency>,
    >,
}

impl Shared {
    pub(crate) fn new(
        location: lift_types::Location,
        limits: gateway_limits::GatewayLimits,
        dialect: sync::Arc<dyn dialect::Dialect>,
        regions: indexmap::IndexMap<lift_types::FailureDomainId, lift_types::RegionId>,
        logger: slog::Logger,
        counters: sync::Arc<lift_obs::Counters>,
        latencies: sync::Arc<lift_obs::Histograms>,
    ) -> Self {
        let locality = locality::Locality::new(location.clone(), limits.locality_costs);
        Self {
            cold_servers: cold_servers::ColdServers::new(&location, limits.confirmation.serving),
            location,
            limits,
            dialect,
            fleet: fleet_state::FleetState::new(limits.weights_grace, regions, locality),
            loads: backend_loads::BackendLoads::new(),
            pool: backend_pool::BackendPool::new(),
            budget: lift_listen::ByteBudget::new(lift_listen::ByteBudget::DEFAULT_BYTES),
            parts: part_guard::PartGuard::new(logger.clone(), sync::Arc::clone(&counters)),
            admissions: admissions::Admissions::new(),
            log: request_log::RequestLog::new(logger, sync::Arc::clone(&counters)),
            counters,
            latencies,
            capacity_changed: tokio::sync::Notify::new(),
            is_stopping: atomic::AtomicBool::new(false),
            stop_end: sync::OnceLock::new(),
            giving_up: tokio_util::sync::CancellationToken::new(),
            started_at: lift_clock::now(),
            retry_budgets: lift_shard::Shards::new(SERVICE_SHARDS, |_| indexmap::IndexMap::new()),
            service_latencies: lift_shard::Shards::new(SERVICE_SHARDS, |_| {
                indexmap::IndexMap::new()
            }),
        }
    }

    /// Sets the budget of the process, in place of one for the smallest host.
    pub(crate) fn with_budget(mut self, budget: sync::Arc<lift_listen::ByteBudget>) -> Self {
        self.budget = budget;
        self
    }

    /// Whether a graceful stop has started.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(atomic::Ordering::Acquire)
    }

    /// Whether a request that may last until `deadline` is sure to have ended before a graceful
    /// stop gives it up.
    pub(crate) fn can_end_before_stop(&self, deadline: time::Instant) -> bool {
        self.stop_end.get().is_none_or(|end| deadline <= *end)
    }

    /// Whether the last confirmation of the configuration is recent enough to serve requests.
    pub(crate) fn is_confirmed(&self, now: time::Instant) -> bool {
        let age = self.fleet.confirmation_age(now);
        self.limits.confirmation.allow_serving(age)
    }

    /// Reason for rejecting a request whose route or key is unknown: `denial` if the configuration
    /// is known to be recent enough, and otherwise one that asks the caller to come back.
    pub(crate) fn denial_reason(
        &self,
        denial: lift_dispatch::RejectionReason,
    ) -> lift_dispatch::RejectionReason {
        let age = self.fleet.confirmation_age(lift_clock::now());
        match self.limits.confirmation.allow_denial(age) {
            true => denial,
            false => lift_dispatch::RejectionReason::Unconfirmed,
        }
    }

    /// Checks whether requests can be served.
    ///
    /// # Errors
    ///
    /// Returns the reason why they can't.
    pub(crate) fn readiness(&self) -> Result<(), lift_dispatch::RejectionReason> {
        if self.is_stopping() {
            return Err(lift_dispatch::RejectionReason::Stopping);
        }
        if self.fleet.table().is_none() {
            return Err(lift_dispatch::RejectionReason::NoConfiguration);
        }
        if !self.is_confirmed(lift_clock::now()) {
            return Err(lift_dispatch::RejectionReason::Unconfirmed);
        }
        // A gateway whose servers are all evacuated stays ready. The others know the same, so
        // without it callers would get no answer instead of a refusal.
        let backends = self.fleet.backends();
        if backends.is_empty() && backends.evacuated() == 0 {
            return Err(lift_dispatch::RejectionReason::NoBackend);
        }
        Ok(())
    }

    /// Calls `update` with the retry budget of a service. The burst of all gateways is divided
    /// evenly between them, and there is none before any are known.
    pub(crate) fn with_retry_budget<R>(
        &self,
        service: &str,
        update: impl FnOnce(&mut lift_route::RetryBudget) -> R,
    ) -> R {
        let now = lift_clock::now();
        let uptime = now.saturating_duration_since(self.started_at);
        let gateways = self.fleet.gateway_count(now);
        let burst = gateways.map_or(0.0, |count| self.limits.retry_burst / f64::from(count));
        self.retry_budgets.with(service, |budgets| {
            let budget = match budgets.get_mut(service) {
                Some(budget) => budget,
                None => budgets
                    .entry(String::from(service))
                    .or_insert_with(lift_route::RetryBudget::empty),
            };
            budget.configure(self.limits.retry_ratio, burst);
            if gateways.is_some() {
                budget.grant(uptime);
            }
            update(budget)
        })
    }

    /// Calls `update` with the request durations of a service.
    pub(crate) fn with_service_latency<R>(
        &self,
        service: &str,
        update: impl FnOnce(&mut lift_dispatch::ServiceLatency) -> R,
    ) -> R {
        self.service_latencies.with(service, |service_latencies| {
            match service_latencies.get_mut(service) {
                Some(latency) => update(latency),
                None => update(service_latencies.entry(String::from(service)).or_default()),
            }
        })
    }
}
