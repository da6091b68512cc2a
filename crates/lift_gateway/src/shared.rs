//! What the tasks of a gateway share.

use std::{sync, time};

use sync::atomic;

use crate::{
    backend_pool, dialect, fleet_state, gateway_limits, load_book, request_log, service_pace,
};

/// Number of shards of state that is kept by service.
const SERVICE_SHARDS: usize = 8;

/// State of a gateway.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) location: lift_types::Location,
    pub(crate) limits: gateway_limits::GatewayLimits,
    pub(crate) dialect: sync::Arc<dyn dialect::Dialect>,
    pub(crate) fleet: fleet_state::FleetState,
    pub(crate) loads: load_book::LoadBook,
    pub(crate) pool: backend_pool::BackendPool,
    pub(crate) log: request_log::RequestLog,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) latencies: sync::Arc<lift_obs::Histograms>,
    /// Woken when a place may have become free.
    pub(crate) room: tokio::sync::Notify,
    pub(crate) is_stopping: atomic::AtomicBool,
    budgets: lift_shard::Shards<indexmap::IndexMap<lift_types::ServiceId, lift_route::RetryBudget>>,
    paces: lift_shard::Shards<indexmap::IndexMap<lift_types::ServiceId, service_pace::ServicePace>>,
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
        Self {
            location,
            limits,
            dialect,
            fleet: fleet_state::FleetState::new(limits.weights_grace, regions),
            loads: load_book::LoadBook::new(),
            pool: backend_pool::BackendPool::new(),
            log: request_log::RequestLog::new(logger, sync::Arc::clone(&counters)),
            counters,
            latencies,
            room: tokio::sync::Notify::new(),
            is_stopping: atomic::AtomicBool::new(false),
            budgets: lift_shard::Shards::new(SERVICE_SHARDS, |_| indexmap::IndexMap::new()),
            paces: lift_shard::Shards::new(SERVICE_SHARDS, |_| indexmap::IndexMap::new()),
        }
    }

    /// Whether the gateway is about to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(atomic::Ordering::Acquire)
    }

    /// Whether the configuration was confirmed lately enough to act on it.
    pub(crate) fn is_confirmed(&self, now: time::Instant) -> bool {
        let age = self.fleet.confirmation_age(now);
        age.is_some_and(|age| age < self.limits.confirmation_age)
    }

    /// Why no request can be served now, if so.
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
        if self.fleet.backends().is_empty() {
            return Err(lift_dispatch::RejectionReason::NoBackend);
        }
        Ok(())
    }

    /// Changes the budget for further attempts of a service. This gateway has its part of
    /// what all gateways have together.
    pub(crate) fn with_budget<R>(
        &self,
        service: &str,
        change: impl FnOnce(&mut lift_route::RetryBudget) -> R,
    ) -> R {
        let gateways = f64::from(self.fleet.gateways());
        self.budgets.with(service, |budgets| {
            let budget = match budgets.get_mut(service) {
                Some(budget) => budget,
                None => budgets.entry(String::from(service)).or_default(),
            };
            budget.configure(
                self.limits.repeat_share,
                self.limits.repeat_burst / gateways,
            );
            change(budget)
        })
    }

    /// Changes the pace of a service.
    pub(crate) fn with_pace<R>(
        &self,
        service: &str,
        change: impl FnOnce(&mut service_pace::ServicePace) -> R,
    ) -> R {
        self.paces
            .with(service, |paces| match paces.get_mut(service) {
                Some(pace) => change(pace),
                None => change(paces.entry(String::from(service)).or_default()),
            })
    }
}
