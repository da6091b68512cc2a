//! The platform around a fleet.

use std::{fmt, net, sync};

/// Translates between a fleet and the platform that it runs on. It makes the parts that the
/// roles need; none of them decides anything.
pub trait FleetAdapter: fmt::Debug + Send + Sync {
    /// Format of configuration documents.
    fn codec(&self) -> sync::Arc<dyn lift_fleet::DocumentCodec>;

    /// Heads of requests and answers.
    fn dialect(&self) -> sync::Arc<dyn lift_gateway::Dialect>;

    /// The backend server at an address, for its agent.
    fn stage(&self, backend: net::SocketAddr) -> sync::Arc<dyn lift_stage::StagePort>;

    /// The origin of weights.
    fn origin(&self) -> sync::Arc<dyn lift_stage::OriginPort>;

    /// Calls of operators and backend servers.
    fn control(
        &self,
        control: sync::Arc<dyn lift_registry::FleetControl>,
        counters: sync::Arc<lift_obs::Counters>,
        log: slog::Logger,
    ) -> axum::Router;
}
