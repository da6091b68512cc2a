//! Route of a request.

use std::time;

use crate::{allowed_regions, route_kind, split};

/// Maps requests for a host name and path prefix to services, with their time limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route in logs.
    pub name: String,
    /// Host name, in lower case.
    pub host: String,
    /// Path prefix. It starts and ends with a slash.
    pub prefix: String,
    /// Kind of the route, which determines whether requests may be repeated.
    pub kind: route_kind::RouteKind,
    /// Longest time that a caller waits for the complete answer.
    pub timeout: time::Duration,
    /// Time to the answer, or to the first event of a stream, that callers should see.
    pub target_latency: time::Duration,
    /// Longest pause between two events of a stream that callers should see.
    pub target_gap: time::Duration,
    /// Priority, of which 0 is the most urgent.
    pub priority: u32,
    /// Services that share the requests, at least one.
    pub splits: Vec<split::Split>,
    /// Largest number of backend servers that one request may reach.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub is_auth_exempt: bool,
    /// Regions in which requests may run.
    pub allowed_regions: allowed_regions::AllowedRegions,
}

impl Route {
    /// Chooses a service in proportion to the weights. `draw` is a random number, uniformly
    /// distributed over `u32`. Returns `None` if all weights are 0.
    pub fn choose_service(&self, draw: u32) -> Option<&lift_types::ServiceId> {
        let total: u64 = self.splits.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = (u64::from(draw) * total) >> 32;
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if left < weight {
                return Some(&split.service);
            }
            left -= weight;
        }
        None
    }
}
