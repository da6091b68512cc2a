//! Retries of idempotent requests.

use std::time;

use rand::RngExt as _;

use crate::{attempt_failure, retry_budget, retry_decision};

/// Maximum number of attempts of one request, including the first.
const MAX_ATTEMPTS: u32 = 5;

/// Attempts of one request at whose backend server it ended, after which the request is not sent
/// again: one repeat covers a server that ends for a reason of its own.
const MAX_ENDS: u32 = 2;

/// Upper bound of the pause before the first retry. It doubles with each further retry.
const BASE_BACKOFF: time::Duration = time::Duration::from_millis(5);

/// Longest pause before a retry.
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(200);

/// Time that must remain after the pause for an attempt to be worthwhile.
const MIN_ATTEMPT_TIME: time::Duration = time::Duration::from_millis(2);

/// Decides on retries and hedges.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides whether an idempotent request is retried after attempt number `attempts`,
    /// counted from one, has failed. A retry is charged to `budget`, except after refusals that
    /// only show that the entry's view is outdated.
    pub fn decide(
        self,
        failure: attempt_failure::AttemptFailure,
        attempts: u32,
        time_left: time::Duration,
        budget: &mut retry_budget::RetryBudget,
        rng: &mut dyn rand::Rng,
    ) -> retry_decision::RetryDecision {
        let give_up = |reason| retry_decision::RetryDecision::GiveUp { reason };
        if attempts >= MAX_ATTEMPTS || is_final(failure) {
            return give_up(failure.refusal_reason());
        }
        let backoff = random_backoff(attempts, rng);
        if backoff + MIN_ATTEMPT_TIME > time_left {
            return give_up(lift_types::RefusalReason::DeadlineUnmet);
        }
        if costs_budget(failure) && !budget.try_withdraw() {
            return give_up(failure.refusal_reason());
        }
        retry_decision::RetryDecision::Retry {
            reason: failure.retry_reason(),
            backoff,
        }
    }

    /// Returns whether a request may be sent again after `ends` backend servers have ended while
    /// they ran it. The request may be at fault and end the next one, too.
    pub fn may_follow_ends(self, ends: u32) -> bool {
        ends < MAX_ENDS
    }

    /// Returns whether a second copy of an idempotent request may be sent, and takes it from
    /// `budget` if so. A request is hedged once at most, during its first attempt.
    pub fn try_hedge(
        self,
        idempotency: lift_types::Idempotency,
        attempts: u32,
        budget: &mut retry_budget::RetryBudget,
    ) -> bool {
        idempotency == lift_types::Idempotency::Idempotent && attempts == 1 && budget.try_withdraw()
    }
}

/// Returns an exponential backoff with full jitter, which spreads out the retries after hosts
/// have failed together.
fn random_backoff(attempts: u32, rng: &mut dyn rand::Rng) -> time::Duration {
    let doublings = attempts.saturating_sub(1).min(16);
    let ceiling = BASE_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
    ceiling.mul_f64(rng.random_range(0.0..1.0))
}

/// Whether any other host would refuse the request too.
fn is_final(failure: attempt_failure::AttemptFailure) -> bool {
    let attempt_failure::AttemptFailure::Refused(reason) = failure else {
        return false;
    };
    reason == lift_types::RefusalReason::DeadlineUnmet || !reason.is_retryable()
}

/// Whether a retry after `failure` is charged to the budget. Refusals that only show that the
/// entry's view is outdated are free: they cost the fleet next to nothing, and a rollout
/// causes many of them.
fn costs_budget(failure: attempt_failure::AttemptFailure) -> bool {
    !matches!(
        failure,
        attempt_failure::AttemptFailure::Refused(
            lift_types::RefusalReason::Leaving
                | lift_types::RefusalReason::Draining
                | lift_types::RefusalReason::Switching
                | lift_types::RefusalReason::NotServing
                | lift_types::RefusalReason::WrongVersion
        )
    )
}
