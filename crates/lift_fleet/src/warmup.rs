//! Warm-up of the backend servers of a service.

use std::time;

/// What a backend server tolerates before it has reached its usual speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Time from its start during traffic until it has warmed up.
    pub duration: time::Duration,
    /// Requests per second that it tolerates until then, over all gateways. `None` for no limit.
    pub requests_per_s: Option<f64>,
}
