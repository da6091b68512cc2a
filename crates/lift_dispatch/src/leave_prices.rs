//! Prices of the ways out of a failure domain.

use std::time;

/// Waits that the traffic on a way is worth: a request is sent that way only if it saves more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeavePrices {
    /// Price of the way to another failure domain of the region.
    pub domain: time::Duration,
    /// Price of the way to another region.
    pub region: time::Duration,
}
