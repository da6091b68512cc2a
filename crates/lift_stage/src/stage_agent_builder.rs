//! Settings of an agent.

use std::{net, sync, time};

use crate::{origin_port, stage_agent, stage_error, stage_port};

/// Collects what a [`stage_agent::StageAgent`] needs.
#[derive(Debug, Default)]
pub struct StageAgentBuilder {
    pub(crate) card: Option<lift_feed::NodeCard>,
    pub(crate) backend: Option<net::SocketAddr>,
    pub(crate) ports: Option<lift_feed::FeedPorts>,
    pub(crate) seeds: Vec<net::IpAddr>,
    pub(crate) keys: Option<lift_wire::LinkKeys>,
    pub(crate) codec: Option<sync::Arc<dyn lift_fleet::DocumentCodec>>,
    pub(crate) stage: Option<sync::Arc<dyn stage_port::StagePort>>,
    pub(crate) origin: Option<sync::Arc<dyn origin_port::OriginPort>>,
    pub(crate) weights_grace: time::Duration,
    pub(crate) link_bytes_per_s: Option<u64>,
    pub(crate) log: Option<slog::Logger>,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
}

impl StageAgentBuilder {
    /// What control members are told about this node. It names the service.
    pub fn card(mut self, card: lift_feed::NodeCard) -> Self {
        self.card = Some(card);
        self
    }

    /// Where the backend server takes requests.
    pub fn backend(mut self, address: net::SocketAddr) -> Self {
        self.backend = Some(address);
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

    /// Keys of the links between nodes.
    pub fn keys(mut self, keys: lift_wire::LinkKeys) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Decodes configuration documents, which name the models and the origin.
    pub fn codec(mut self, codec: sync::Arc<dyn lift_fleet::DocumentCodec>) -> Self {
        self.codec = Some(codec);
        self
    }

    /// The backend server.
    pub fn stage(mut self, stage: sync::Arc<dyn stage_port::StagePort>) -> Self {
        self.stage = Some(stage);
        self
    }

    /// The origin of weights.
    pub fn origin(mut self, origin: sync::Arc<dyn origin_port::OriginPort>) -> Self {
        self.origin = Some(origin);
        self
    }

    /// Time after which no request may begin on an older version of the weights. Agents take
    /// turns within it. Without it all load as soon as they can.
    pub fn weights_grace(mut self, grace: time::Duration) -> Self {
        self.weights_grace = grace;
        self
    }

    /// Rate of the host's link, which answers of the backend server share.
    pub fn link_bytes_per_s(mut self, rate: Option<u64>) -> Self {
        self.link_bytes_per_s = rate;
        self
    }

    /// Logger, by default one that drops all events.
    pub fn logger(mut self, log: slog::Logger) -> Self {
        self.log = Some(log);
        self
    }

    /// Counters, by default those of this agent alone.
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = counters;
        self
    }

    /// Opens the listeners and starts.
    ///
    /// # Errors
    ///
    /// Returns a setting that is missing or a listener that can't be opened.
    pub async fn start(
        self,
    ) -> Result<stage_agent::StageAgent, error_stack::Report<stage_error::StageError>> {
        stage_agent::StageAgent::start(self).await
    }
}
