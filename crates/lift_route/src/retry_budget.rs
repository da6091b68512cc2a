//! Limit on the share of retries in the traffic.

/// Retries allowed for each request. A higher ratio would add load to a fleet that fails
/// because of load.
const DEFAULT_RATIO: f64 = 0.2;

/// Retries allowed at once, also after an idle time. The burst covers the requests in
/// progress at a host that fails.
const DEFAULT_BURST: f64 = 64.0;

/// Budget of retries: each request adds a fraction of a retry, each retry takes one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
    ratio: f64,
    burst: f64,
}

impl RetryBudget {
    /// Creates a budget with the default ratio and a full burst.
    pub fn new() -> Self {
        Self {
            balance: DEFAULT_BURST,
            ratio: DEFAULT_RATIO,
            burst: DEFAULT_BURST,
        }
    }

    /// Sets the number of retries that each request adds, and the number allowed at once. A
    /// balance above the new burst is cut to it.
    pub fn configure(&mut self, ratio: f64, burst: f64) {
        self.ratio = ratio;
        self.burst = burst;
        self.balance = self.balance.min(burst);
    }

    /// Adds the fraction of a retry that each request earns, up to the burst.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.burst);
    }

    /// Takes one retry from the balance and returns whether the budget allowed it.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
