//! Share of traffic that may be retries.

/// Retries for each request: a fifth. Above it retries would add load to a fleet that
/// fails because of load.
const SHARE: f64 = 0.2;

/// Retries that may come at once, also after an idle time. It covers the requests in
/// progress at a host that fails.
const BURST: f64 = 64.0;

/// Budget that grows with requests and shrinks with retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
    share: f64,
    burst: f64,
}

impl RetryBudget {
    /// Starts with the whole burst.
    pub fn new() -> Self {
        Self {
            balance: BURST,
            share: SHARE,
            burst: BURST,
        }
    }

    /// Sets how many retries each request pays for, and how many may come at once. What is
    /// left over the new burst is lost.
    pub fn set(&mut self, share: f64, burst: f64) {
        self.share = share;
        self.burst = burst;
        self.balance = self.balance.min(burst);
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.share).min(self.burst);
    }

    /// Takes one retry where the budget allows it.
    pub fn withdraw(&mut self) -> bool {
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
