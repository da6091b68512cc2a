//! Costs of requests to other failure domains.

use std::time;

/// Costs of the traffic that leaves the failure domain, as waits: a request is sent there only if
/// it is expected to be served earlier by more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalityCosts {
    /// Cost of a request to another failure domain of the region.
    pub domain: time::Duration,
    /// Cost of a request to another region.
    pub region: time::Duration,
}
