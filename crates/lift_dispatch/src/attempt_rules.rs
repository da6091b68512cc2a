//! Rules for further attempts.

use std::time;

use crate::{attempt_end, verdict};

/// Least time that a further attempt needs to make sense.
const MIN_ATTEMPT: time::Duration = time::Duration::from_millis(20);

/// Attempts that may fail without having reached any backend server. Each costs a connect
/// time-out at worst.
const MAX_UNSENT: u32 = 3;

/// What is known of a request when one of its attempts has ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRules {
    /// Kind of its route.
    pub kind: lift_fleet::RouteKind,
    /// Backend servers that it may reach.
    pub max_attempts: u32,
    /// Backend servers that it has reached.
    pub arrived: u32,
    /// Attempts that reached none.
    pub unsent: u32,
    /// Whether it may have run.
    pub has_run: bool,
    /// Time until its deadline.
    pub time_left: time::Duration,
}

impl AttemptRules {
    /// Decides what follows from `end`. An attempt after one that arrived is charged to
    /// `budget`, which all arrivals but the first of a request share.
    pub fn after(
        &self,
        end: attempt_end::AttemptEnd,
        budget: &mut lift_route::RetryBudget,
    ) -> verdict::Verdict {
        let may_have_run = self.has_run || !end.is_not_run();
        if may_have_run && !self.kind.is_repeatable() {
            return verdict::Verdict::GiveUp;
        }
        if self.arrived >= self.max_attempts.max(1) || self.unsent >= MAX_UNSENT {
            return verdict::Verdict::GiveUp;
        }
        if self.time_left < MIN_ATTEMPT {
            return verdict::Verdict::GiveUp;
        }
        if self.arrived > 0 && !budget.withdraw() {
            return verdict::Verdict::GiveUp;
        }
        verdict::Verdict::Again
    }
}
