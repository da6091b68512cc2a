//! A route.

use std::time;

use crate::{route_kind, split};

/// Where the requests of a host name and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: String,
    /// Host name, in lower case.
    pub host: String,
    /// Path prefix. It begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: route_kind::RouteKind,
    /// Longest time for which a caller is kept waiting.
    pub timeout: time::Duration,
    /// Time to the answer, or to the first event of a stream, that callers want.
    pub target_latency: time::Duration,
    /// Longest pause between two events of a stream that callers want.
    pub target_gap: time::Duration,
    /// Rank, 0 is the most urgent.
    pub priority: u32,
    /// Services and their weights, at least one.
    pub splits: Vec<split::Split>,
    /// Backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_open: bool,
}

impl Route {
    /// Chooses a service. `draw` is a random number that is evenly spread over all of `u32`.
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
