//! Settings of a gateway.

use std::{net, sync};

use crate::{dialect, gateway, gateway_error, gateway_limits};

/// Collects the settings of a [`gateway::Gateway`] and starts it.
#[derive(Debug, Default)]
pub struct GatewayBuilder {
    pub(crate) node: Option<lift_feed::NodeSetup>,
    pub(crate) callers: Option<net::SocketAddr>,
    pub(crate) readiness: Option<net::SocketAddr>,
    pub(crate) regions: indexmap::IndexMap<lift_types::FailureDomainId, lift_types::RegionId>,
    pub(crate) dialect: Option<sync::Arc<dyn dialect::Dialect>>,
    pub(crate) limits: gateway_limits::GatewayLimits,
    pub(crate) latencies: sync::Arc<lift_obs::Histograms>,
    pub(crate) budget: Option<sync::Arc<lift_listen::ByteBudget>>,
}

impl GatewayBuilder {
    /// Sets the identity of this node and how it connects to the fleet. Required.
    pub fn node(mut self, node: lift_feed::NodeSetup) -> Self {
        self.node = Some(node);
        self
    }

    /// Sets the address at which callers connect. Required.
    pub fn callers(mut self, address: net::SocketAddr) -> Self {
        self.callers = Some(address);
        self
    }

    /// Sets the address of the readiness check for the load balancer. Required.
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

    /// Sets the format of the heads of requests and answers. Required.
    pub fn dialect(mut self, dialect: sync::Arc<dyn dialect::Dialect>) -> Self {
        self.dialect = Some(dialect);
        self
    }

    /// Sets the limits. The default is [`gateway_limits::GatewayLimits::default`].
    pub fn limits(mut self, limits: gateway_limits::GatewayLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the histograms for latencies. By default the gateway creates its own.
    pub fn latencies(mut self, latencies: sync::Arc<lift_obs::Histograms>) -> Self {
        self.latencies = latencies;
        self
    }

    /// Sets the budget of the process for what is held for others. By default the gateway creates
    /// one for the smallest host.
    pub fn budget(mut self, budget: sync::Arc<lift_listen::ByteBudget>) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Opens the listeners and starts the gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if a required setting is missing or a listener can't be opened.
    pub async fn start(
        self,
    ) -> Result<gateway::Gateway, error_stack::Report<gateway_error::GatewayError>> {
        gateway::Gateway::start(self).await
    }
}
