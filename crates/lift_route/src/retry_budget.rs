//! Limit on the share of retries in the traffic.

use std::time;

/// Retries allowed for each request. A higher ratio would add load to a fleet that fails
/// because of load.
const DEFAULT_RATIO: f64 = 0.2;

/// Retries allowed at once, also after an idle time. The burst covers the requests in
/// progress at a host that fails.
const DEFAULT_BURST: f64 = 64.0;

/// Time after the start of a process from which it may use the whole burst.
const FULL_BURST_UPTIME: time::Duration = time::Duration::from_secs(50);

/// Budget of retries: each request adds a fraction of a retry, each retry takes one.
///
/// The process before this one may just have spent the burst, so a new process starts with nothing
/// of it and is granted it over time. See `docs/platform.md`.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
    ratio: f64,
    burst: f64,
    /// Part of the burst that was granted since the process started.
    granted_part: f64,
    /// Retries that the budget has not allowed.
    denied: u64,
}

impl RetryBudget {
    /// Creates a budget with the default ratio and a full burst.
    pub fn new() -> Self {
        Self {
            balance: DEFAULT_BURST,
            granted_part: 1.0,
            ..Self::empty()
        }
    }

    /// Creates a budget with the default ratio and burst from which nothing may be taken yet.
    pub fn empty() -> Self {
        Self {
            balance: 0.0,
            ratio: DEFAULT_RATIO,
            burst: DEFAULT_BURST,
            granted_part: 0.0,
            denied: 0,
        }
    }

    /// Sets the number of retries that each request adds, and the number allowed at once. A
    /// balance above the new burst is cut to it.
    pub fn configure(&mut self, ratio: f64, burst: f64) {
        self.ratio = ratio;
        self.burst = burst;
        self.balance = self.balance.min(burst);
    }

    /// Adds the part of the burst that a process which runs for `uptime` may use, as far as it was
    /// not added before.
    pub fn grant(&mut self, uptime: time::Duration) {
        let part = uptime.div_duration_f64(FULL_BURST_UPTIME).min(1.0);
        let new_part = (part - self.granted_part).max(0.0);
        self.granted_part += new_part;
        self.balance = (self.balance + new_part * self.burst).min(self.burst);
    }

    /// Adds the fraction of a retry that each request earns, up to the burst.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.burst);
    }

    /// Takes one retry from the balance and returns whether the budget allowed it.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            self.denied += 1;
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Number of retries that the budget has not allowed so far.
    pub fn denied(&self) -> u64 {
        self.denied
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
