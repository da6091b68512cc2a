//! Settings of the agent role.

use std::net;

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetAgent {
    /// Where the backend server beside the agent takes requests and orders.
    pub backend: net::SocketAddr,
    /// Service that it answers.
    pub service: lift_types::ServiceId,
    /// Rate of the host's link in megabits per second. Pieces of weights are sent slower than
    /// that. Without it they are sent at any rate.
    #[serde(default)]
    pub link_mbps: Option<f64>,
}
