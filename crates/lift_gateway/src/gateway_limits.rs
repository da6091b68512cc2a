//! Limits of a gateway.

use std::time;

/// Limits of a gateway. The deployment can set each of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayLimits {
    /// How long the gateway may act on its configuration after the last confirmation.
    pub confirmation: lift_dispatch::ConfirmationLimits,
    /// Time for which requests may start on older weights after a new target version was set.
    pub weights_grace: time::Duration,
    /// Number of retries that each request adds to the retry budget of its service.
    pub retry_ratio: f64,
    /// Retries of one service that are allowed at once, over all gateways.
    pub retry_burst: f64,
    /// Requests that a cold backend server may get, as a multiple of those that it tolerates, over
    /// all gateways.
    pub cold_overage: f64,
    /// Requests that a cold backend server may get beyond that, within one second.
    pub cold_slack: f64,
    /// Prices of the ways out of a failure domain, if requests leave it by the expected wait.
    pub locality_costs: Option<lift_dispatch::LocalityCosts>,
    /// Time after the start of a graceful stop for which new connections and requests are still
    /// accepted. At most half of the grace time is used.
    pub shutdown_delay: time::Duration,
    /// Largest number of open connections from callers.
    pub max_connections: usize,
}

impl Default for GatewayLimits {
    /// Limits for a fleet whose load balancer notices within 2 s that a gateway is not ready.
    fn default() -> Self {
        Self {
            confirmation: lift_dispatch::ConfirmationLimits {
                serving: time::Duration::from_secs(4),
                denial: time::Duration::from_secs(2),
            },
            weights_grace: time::Duration::from_secs(6),
            retry_ratio: 0.15,
            retry_burst: 50.0,
            cold_overage: 1.0,
            cold_slack: 0.0,
            locality_costs: None,
            shutdown_delay: time::Duration::from_millis(2_600),
            max_connections: 2_000,
        }
    }
}
