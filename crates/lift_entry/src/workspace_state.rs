//! State of a workspace at this entry.

use std::time;

/// Rate limit and retry budget of one workspace at this entry.
#[derive(Debug)]
pub(crate) struct WorkspaceState {
    pub(crate) bucket: lift_route::TokenBucket,
    pub(crate) budget: lift_route::RetryBudget,
    pub(crate) last_used: time::Instant,
}

impl WorkspaceState {
    pub(crate) fn new(now: time::Instant, limits: &lift_types::WorkspaceLimits) -> Self {
        Self {
            bucket: lift_route::TokenBucket::new(now, limits.burst),
            budget: lift_route::RetryBudget::new(),
            last_used: now,
        }
    }
}
