//! Guards against requests that run twice, retries beyond their limits, and false reports that a
//! request has not run.

use std::time;

use lift_dispatch::{AttemptFailure, RejectionReason, RetryContext, RetryDecision, SelectionError};
use lift_fleet::RouteKind;
use proptest::prelude::*;
use strum::IntoEnumIterator as _;

fn context(kind: RouteKind) -> RetryContext {
    RetryContext {
        kind,
        max_attempts: 2,
        servers_reached: 1,
        unsent_attempts: 0,
        may_have_run: false,
        time_left: time::Duration::from_secs(1),
    }
}

fn decide(context: RetryContext, failure: AttemptFailure) -> RetryDecision {
    context.decide(failure, &mut lift_route::RetryBudget::new())
}

#[test]
fn non_repeatable_requests_are_retried_only_if_known_not_to_have_run() {
    // Guards against double runs: after a broken connection the request may have run.
    for kind in [RouteKind::NonIdempotent, RouteKind::Stream] {
        for failure in AttemptFailure::iter() {
            let decision = decide(context(kind), failure);
            let expected = match failure.is_not_run() {
                true => RetryDecision::Retry,
                false => RetryDecision::GiveUp,
            };
            assert_eq!(decision, expected, "{kind} {failure}");
        }
        let mut earlier = context(kind);
        earlier.may_have_run = true;
        assert_eq!(
            decide(earlier, AttemptFailure::NotRun),
            RetryDecision::GiveUp
        );
    }
}

#[test]
fn retries_stay_within_the_attempt_limit_budget_and_deadline() {
    let mut spent = context(RouteKind::Idempotent);
    spent.servers_reached = 2;
    assert_eq!(decide(spent, AttemptFailure::Broken), RetryDecision::GiveUp);
    let mut late = context(RouteKind::Idempotent);
    late.time_left = time::Duration::from_millis(5);
    assert_eq!(decide(late, AttemptFailure::Broken), RetryDecision::GiveUp);
    let mut budget = lift_route::RetryBudget::new();
    budget.configure(0.0, 1.0);
    let first = context(RouteKind::Idempotent).decide(AttemptFailure::Broken, &mut budget);
    let second = context(RouteKind::Idempotent).decide(AttemptFailure::Broken, &mut budget);
    assert_eq!(
        (first, second),
        (RetryDecision::Retry, RetryDecision::GiveUp)
    );
}

#[test]
fn attempts_that_reach_no_server_cost_no_budget() {
    let mut unsent = context(RouteKind::NonIdempotent);
    unsent.servers_reached = 0;
    unsent.unsent_attempts = 1;
    let mut budget = lift_route::RetryBudget::new();
    budget.configure(0.0, 0.0);
    assert_eq!(
        unsent.decide(AttemptFailure::NotSent, &mut budget),
        RetryDecision::Retry
    );
    unsent.unsent_attempts = 3;
    assert_eq!(
        unsent.decide(AttemptFailure::NotSent, &mut budget),
        RetryDecision::GiveUp
    );
}

proptest! {
    #[test]
    fn replies_claim_not_run_only_if_the_request_has_not_run(
        failure in 0..AttemptFailure::iter().count(),
        error in 0..SelectionError::iter().count(),
        may_have_run: bool,
    ) {
        // Guards against a false "not run": statuses 408, 421, 429 and 503 guarantee it.
        let guarantees_not_run = |reason: RejectionReason| {
            matches!(reason.http_status(), 408 | 421 | 429 | 503)
        };
        let failure = AttemptFailure::iter().nth(failure).unwrap();
        if may_have_run || !failure.is_not_run() {
            prop_assert!(!guarantees_not_run(RejectionReason::from_attempt_failure(failure, may_have_run)));
        }
        let error = SelectionError::iter().nth(error).unwrap();
        prop_assert_eq!(guarantees_not_run(RejectionReason::from_selection_error(error, may_have_run)), !may_have_run);
    }
}
