//! Bounds of a gateway.

use std::time;

/// Times and shares that the deployment sets. Each has a default; change them by name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayLimits {
    /// Age of the last confirmation from which requests are refused: a key that was taken
    /// away since must not be accepted.
    pub confirmation_age: time::Duration,
    /// Time for which requests may begin on older weights after new ones were named.
    pub weights_grace: time::Duration,
    /// Further attempts that each request pays for, in a service and over all gateways.
    pub repeat_share: f64,
    /// Further attempts that may come at once, in a service and over all gateways.
    pub repeat_burst: f64,
    /// Time after the signal to stop for which new connections and requests are taken.
    pub linger: time::Duration,
    /// Connections of callers at once.
    pub max_connections: usize,
}

impl Default for GatewayLimits {
    /// Suits a fleet whose load balancer notices within 2 s that a gateway is not ready.
    fn default() -> Self {
        Self {
            confirmation_age: time::Duration::from_secs(4),
            weights_grace: time::Duration::from_secs(6),
            repeat_share: 0.15,
            repeat_burst: 50.0,
            linger: time::Duration::from_millis(2_600),
            max_connections: 2_000,
        }
    }
}
