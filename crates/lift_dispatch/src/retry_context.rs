//! Rules for retries.

use std::time;

use crate::{attempt_failure, retry_decision};

/// Time before the deadline below which a retry is not worth sending.
const MIN_RETRY_TIME: time::Duration = time::Duration::from_millis(20);

/// Attempts of one request that may fail without reaching any backend server. Each costs a
/// connect timeout at worst.
const MAX_UNSENT_ATTEMPTS: u32 = 3;

/// State of a request after one of its attempts has failed. The counts include that attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Kind of the request's route.
    pub kind: lift_fleet::RouteKind,
    /// Number of backend servers that the request may reach.
    pub max_attempts: u32,
    /// Number of backend servers that the request has reached.
    pub servers_reached: u32,
    /// Number of attempts that reached no backend server.
    pub unsent_attempts: u32,
    /// Whether an earlier attempt may have run the request.
    pub may_have_run: bool,
    /// Time until the request's deadline.
    pub time_left: time::Duration,
}

impl RetryContext {
    /// Decides whether to retry after an attempt that failed with `failure`. A retry is charged
    /// to `budget` only if the request has reached a backend server before, so the first arrival
    /// of each request is free.
    pub fn decide(
        &self,
        failure: attempt_failure::AttemptFailure,
        budget: &mut lift_route::RetryBudget,
    ) -> retry_decision::RetryDecision {
        let may_have_run = self.may_have_run || !failure.is_not_run();
        if may_have_run && !self.kind.is_repeatable() {
            return retry_decision::RetryDecision::GiveUp;
        }
        if self.servers_reached >= self.max_attempts.max(1)
            || self.unsent_attempts >= MAX_UNSENT_ATTEMPTS
        {
            return retry_decision::RetryDecision::GiveUp;
        }
        if self.time_left < MIN_RETRY_TIME {
            return retry_decision::RetryDecision::GiveUp;
        }
        if self.servers_reached > 0 && !budget.try_withdraw() {
            return retry_decision::RetryDecision::GiveUp;
        }
        retry_decision::RetryDecision::Retry
    }
}
