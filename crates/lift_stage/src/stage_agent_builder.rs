//! Settings of an agent.

use std::{net, sync, time};

use crate::{origin_port, stage_agent, stage_error, stage_port};

/// Collects what a [`stage_agent::StageAgent`] needs.
#[derive(Debug, Default)]
pub struct StageAgentBuilder {
    pub(crate) node: Option<lift_feed::NodeSetup>,
    pub(crate) backend: Option<net::SocketAddr>,
    pub(crate) stage: Option<sync::Arc<dyn stage_port::StagePort>>,
    pub(crate) origin: Option<sync::Arc<dyn origin_port::OriginPort>>,
    pub(crate) weights_grace: time::Duration,
    pub(crate) link_bytes_per_s: Option<u64>,
}

impl StageAgentBuilder {
    /// Who the node is and how it finds the others.
    pub fn node(mut self, node: lift_feed::NodeSetup) -> Self {
        self.node = Some(node);
        self
    }

    /// Where the backend server takes requests.
    pub fn backend(mut self, address: net::SocketAddr) -> Self {
        self.backend = Some(address);
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
