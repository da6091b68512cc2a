//! Settings of the gateway role.

use std::net;

use crate::fleet_locality;

/// Settings of a node that takes the requests of callers.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct FleetGateway {
    /// Where callers connect.
    pub callers: net::SocketAddr,
    /// Where the load balancer asks whether the node is ready.
    pub readiness: net::SocketAddr,
    /// When requests leave their failure domain. Without it another region has a fixed cost, and
    /// keeps a fixed part of its servers to itself.
    #[serde(default)]
    pub locality: Option<fleet_locality::FleetLocality>,
}
