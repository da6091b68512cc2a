//! A service.

use crate::{engine_spec, origin_endpoint, warmup};

/// A service to which routes send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: lift_types::ServiceId,
    /// Connections that one backend server accepts in total, 0 if unlimited.
    pub max_connections: u32,
    /// Warm-up of its backend servers. `None` if they tolerate any number of requests at once.
    pub warmup: Option<warmup::Warmup>,
    /// Specification of the engines, if the service runs models.
    pub engine: Option<engine_spec::EngineSpec>,
    /// Endpoint of the origin, if the service provides weights.
    pub origin: Option<origin_endpoint::OriginEndpoint>,
}
