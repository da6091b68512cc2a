//! Rates of the links in a burst, and the lower bound that follows.

use std::time;

use crate::burst_options;

/// Copies that the origin link carries in the wanted time.
const ORIGIN_COPIES: u64 = 4;

/// Copies that a host link carries each way in the wanted time.
const HOST_COPIES: u64 = 2;

/// Copies that a region link carries each way in the wanted time: the origin link and the
/// region links of today have the same rate.
const REGION_COPIES: u64 = 4;

/// Rates in bytes per second. The derivation is in `docs/burst.md`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BurstRates {
    pub(crate) origin: u64,
    pub(crate) host: u64,
    pub(crate) region: u64,
}

impl BurstRates {
    pub(crate) fn of(options: &burst_options::BurstOptions) -> Self {
        let copies = |count: u64| count * options.bytes * 1_000 / options.wanted_ms;
        Self {
            origin: copies(ORIGIN_COPIES),
            host: copies(HOST_COPIES),
            region: copies(REGION_COPIES),
        }
    }

    /// Time below which `hosts` can't all hold `bytes`.
    pub(crate) fn lower_bound(&self, hosts: u64, regions: u64, bytes: u64) -> time::Duration {
        let bytes = bytes as f64;
        let upload = (self.origin + hosts * self.host) as f64;
        let mut bound = bytes / self.origin as f64;
        bound = bound.max(bytes / self.host as f64);
        bound = bound.max(hosts as f64 * bytes / upload);
        if regions > 1 {
            bound = bound.max(bytes / self.region as f64);
        }
        time::Duration::from_secs_f64(bound)
    }
}
