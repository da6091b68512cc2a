//! Limit of the requests to a cold backend server.

use std::time;

/// Share of the tolerated requests that gateways use. The rest covers requests that are delayed on
/// the way, and a gateway that another one does not know yet.
const USED_SHARE: f64 = 0.9;

/// Requests that all gateways together may send to one backend server while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    /// Time for which a server counts as cold if it does not say for how long.
    pub duration: time::Duration,
    /// Requests within one second. `None` if any number may be sent.
    pub requests: Option<u32>,
}

impl ColdLimit {
    /// Limit of a service with `warmup`. Its servers may get `overage` times the requests that they
    /// tolerate, and `slack` more.
    pub fn new(warmup: &lift_fleet::Warmup, overage: f64, slack: f64) -> Self {
        let requests = warmup.requests_per_s.map(|tolerated| {
            let allowed = tolerated * overage + slack;
            let used = (allowed * USED_SHARE).floor() as u32;
            used.max(u32::from(allowed >= 1.0))
        });
        Self {
            duration: warmup.duration,
            requests,
        }
    }
}
