//! What one gateway knows.

use std::time;

use lift_dispatch::{
    BackendLoad, GatewayShares, ReturningCallers, ServiceAdmission, ServiceLatency,
};

/// State of one gateway.
pub(crate) struct Gateway {
    pub(crate) shares: GatewayShares,
    pub(crate) loads: Vec<BackendLoad>,
    pub(crate) latency: ServiceLatency,
    pub(crate) admission: ServiceAdmission,
    /// By kind.
    pub(crate) returning: Vec<ReturningCallers>,
}

impl Gateway {
    pub(crate) fn new(
        own: &lift_types::Location,
        all: &[lift_types::Location],
        engines: usize,
        kinds: usize,
    ) -> Self {
        Self {
            shares: GatewayShares::new(own, all),
            loads: vec![BackendLoad::default(); engines],
            latency: ServiceLatency::default(),
            admission: ServiceAdmission::default(),
            returning: vec![ReturningCallers::default(); kinds],
        }
    }

    /// Place time for the choice of `Retry-After`.
    pub(crate) fn place_time(&self) -> time::Duration {
        self.latency.mean_duration()
    }
}
