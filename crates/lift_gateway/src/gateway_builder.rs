//! Settings of a gateway.

use std::{net, sync};

use crate::{dialect, gateway, gateway_error, gateway_limits};

/// Collects what a [`gateway::Gateway`] needs.
#[derive(Debug, Default)]
pub struct GatewayBuilder {
    pub(crate) card: Option<lift_feed::NodeCard>,
    pub(crate) callers: Option<net::SocketAddr>,
    pub(crate) readiness: Option<net::SocketAddr>,
    pub(crate) ports: Option<lift_feed::FeedPorts>,
    pub(crate) seeds: Vec<net::IpAddr>,
    pub(crate) regions: indexmap::IndexMap<lift_types::FailureDomainId, lift_types::RegionId>,
    pub(crate) keys: Option<lift_wire::LinkKeys>,
    pub(crate) dialect: Option<sync::Arc<dyn dialect::Dialect>>,
    pub(crate) codec: Option<sync::Arc<dyn lift_fleet::DocumentCodec>>,
    pub(crate) limits: gateway_limits::GatewayLimits,
    pub(crate) log: Option<slog::Logger>,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) latencies: sync::Arc<lift_obs::Histograms>,
}

impl GatewayBuilder {
    /// What control members are told about this node.
    pub fn card(mut self, card: lift_feed::NodeCard) -> Self {
        self.card = Some(card);
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

    /// Ports of the listeners between nodes.
    pub fn ports(mut self, ports: lift_feed::FeedPorts) -> Self {
        self.ports = Some(ports);
        self
    }

    /// Hosts of a few control members.
    pub fn seeds(mut self, seeds: Vec<net::IpAddr>) -> Self {
        self.seeds = seeds;
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

    /// Keys of the links between nodes.
    pub fn keys(mut self, keys: lift_wire::LinkKeys) -> Self {
        self.keys = Some(keys);
        self
    }

    /// How callers and backend servers write heads.
    pub fn dialect(mut self, dialect: sync::Arc<dyn dialect::Dialect>) -> Self {
        self.dialect = Some(dialect);
        self
    }

    /// Decodes configuration documents.
    pub fn codec(mut self, codec: sync::Arc<dyn lift_fleet::DocumentCodec>) -> Self {
        self.codec = Some(codec);
        self
    }

    /// Times and shares.
    pub fn limits(mut self, limits: gateway_limits::GatewayLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Logger, by default one that drops all events.
    pub fn logger(mut self, log: slog::Logger) -> Self {
        self.log = Some(log);
        self
    }

    /// Counters, by default those of this gateway alone.
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = counters;
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
