//! Settings of a gateway.

use std::{net, sync};

use crate::{dialect, gateway, gateway_error, gateway_limits};

/// Collects what a [`gateway::Gateway`] needs.
#[derive(Debug, Default)]
pub struct GatewayBuilder {
    pub(crate) node: Option<lift_feed::NodeSetup>,
    pub(crate) callers: Option<net::SocketAddr>,
    pub(crate) readiness: Option<net::SocketAddr>,
    pub(crate) regions: indexmap::IndexMap<lift_types::FailureDomainId, lift_types::RegionId>,
    pub(crate) dialect: Option<sync::Arc<dyn dialect::Dialect>>,
    pub(crate) limits: gateway_limits::GatewayLimits,
    pub(crate) latencies: sync::Arc<lift_obs::Histograms>,
}

impl GatewayBuilder {
    /// Who the node is and how it finds the others.
    pub fn node(mut self, node: lift_feed::NodeSetup) -> Self {
        self.node = Some(node);
        self
    }

    /// Where callers connect.
    pub fn callers(mut self, address: net::SocketAddr) -> Self {
        self.callers = Some(address);
        self
    }

    /// Where the load balancer asks whether the gateway is ready.
    pub fn readiness(mut self, address: net::SocketAddr) -> Self {
        self.readiness = Some(address);
        self
    }

    /// Adds a failure domain and its region.
    pub fn failure_domain(
        mut self,
        domain: lift_types::FailureDomainId,
        region: lift_types::RegionId,
    ) -> Self {
        self.regions.insert(domain, region);
        self
    }

    /// How callers and backend servers write heads.
    pub fn dialect(mut self, dialect: sync::Arc<dyn dialect::Dialect>) -> Self {
        self.dialect = Some(dialect);
        self
    }

    /// Times and shares.
    pub fn limits(mut self, limits: gateway_limits::GatewayLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Latencies, by default those of this gateway alone.
    pub fn latencies(mut self, latencies: sync::Arc<lift_obs::Histograms>) -> Self {
        self.latencies = latencies;
        self
    }

    /// Opens the listeners and starts.
    ///
    /// # Errors
    ///
    /// Returns a setting that is missing or a listener that can't be opened.
    pub async fn start(
        self,
    ) -> Result<gateway::Gateway, error_stack::Report<gateway_error::GatewayError>> {
        gateway::Gateway::start(self).await
    }
}
