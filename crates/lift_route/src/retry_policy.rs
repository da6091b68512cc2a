//! Rules for retries of idempotent requests.

use std::time;

use rand::RngExt as _;

use crate::{attempt_end, retry_budget, retry_verdict};

/// Attempts of one request, the first included.
const MAX_ATTEMPTS: u32 = 5;

/// Pause before the first retry. It doubles with each further one.
const BASE_PAUSE: time::Duration = time::Duration::from_millis(5);

/// Longest pause.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Least time that an attempt needs to make sense.
const MIN_ATTEMPT: time::Duration = time::Duration::from_millis(2);

/// Decides on retries and hedges.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides what follows after attempt number `attempts` of an idempotent request.
    pub fn after(
        self,
        end: attempt_end::AttemptEnd,
        attempts: u32,
        time_left: time::Duration,
        budget: &mut retry_budget::RetryBudget,
        rng: &mut dyn rand::Rng,
    ) -> retry_verdict::RetryVerdict {
        let give_up = |reason| retry_verdict::RetryVerdict::GiveUp { reason };
        if attempts >= MAX_ATTEMPTS || is_final(end) {
            return give_up(end.refusal_reason());
        }
        let after = pause(attempts, rng);
        if after + MIN_ATTEMPT > time_left {
            return give_up(lift_types::RefusalReason::DeadlineUnmet);
        }
        if costs_budget(end) && !budget.withdraw() {
            return give_up(end.refusal_reason());
        }
        retry_verdict::RetryVerdict::Retry {
            reason: end.retry_reason(),
            after,
        }
    }

    /// Whether a second copy of an idempotent request may be sent: only one, and only
    /// within the budget.
    pub fn may_hedge(
        self,
        idempotency: lift_types::Idempotency,
        attempts: u32,
        budget: &mut retry_budget::RetryBudget,
    ) -> bool {
        idempotency == lift_types::Idempotency::Idempotent && attempts == 1 && budget.withdraw()
    }
}

/// Full jitter: hosts that fail together don't get all retries at one moment.
fn pause(attempts: u32, rng: &mut dyn rand::Rng) -> time::Duration {
    let doublings = attempts.saturating_sub(1).min(16);
    let ceiling = BASE_PAUSE.saturating_mul(1 << doublings).min(MAX_PAUSE);
    ceiling.mul_f64(rng.random_range(0.0..1.0))
}

/// Whether another host would refuse too.
fn is_final(end: attempt_end::AttemptEnd) -> bool {
    let attempt_end::AttemptEnd::Refused(reason) = end else {
        return false;
    };
    reason == lift_types::RefusalReason::DeadlineUnmet || !reason.is_repeat_wise()
}

/// A refusal that only shows that the view of the entry lags costs the fleet next to
/// nothing, and a rollout causes many of them.
fn costs_budget(end: attempt_end::AttemptEnd) -> bool {
    !matches!(
        end,
        attempt_end::AttemptEnd::Refused(
            lift_types::RefusalReason::Leaving
                | lift_types::RefusalReason::Draining
                | lift_types::RefusalReason::Switching
                | lift_types::RefusalReason::NotServing
                | lift_types::RefusalReason::WrongVersion
        )
    )
}
