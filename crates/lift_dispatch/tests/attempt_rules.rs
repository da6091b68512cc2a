//! What follows from the end of an attempt.

use std::time;

use lift_dispatch::{AttemptEnd, AttemptRules, ChoiceReason, DeclineReason, Verdict};
use lift_fleet::RouteKind;
use proptest::prelude::*;
use strum::IntoEnumIterator as _;

fn rules(kind: RouteKind) -> AttemptRules {
    AttemptRules {
        kind,
        max_attempts: 2,
        arrived: 1,
        unsent: 0,
        has_run: false,
        time_left: time::Duration::from_secs(1),
    }
}

fn after(rules: AttemptRules, end: AttemptEnd) -> Verdict {
    rules.after(end, &mut lift_route::RetryBudget::new())
}

#[test]
fn a_request_that_must_not_run_twice_is_sent_again_only_after_a_proof() {
    // Guards against double runs: a broken connection proves nothing.
    for kind in [RouteKind::NonIdempotent, RouteKind::Stream] {
        for end in AttemptEnd::iter() {
            let verdict = after(rules(kind), end);
            let expected = match end.is_not_run() {
                true => Verdict::Again,
                false => Verdict::GiveUp,
            };
            assert_eq!(verdict, expected, "{kind} {end}");
        }
        let mut earlier = rules(kind);
        earlier.has_run = true;
        assert_eq!(after(earlier, AttemptEnd::NotRun), Verdict::GiveUp);
    }
}

#[test]
fn repeats_stay_within_attempts_budget_and_time() {
    let mut spent = rules(RouteKind::Idempotent);
    spent.arrived = 2;
    assert_eq!(after(spent, AttemptEnd::Broken), Verdict::GiveUp);
    let mut late = rules(RouteKind::Idempotent);
    late.time_left = time::Duration::from_millis(5);
    assert_eq!(after(late, AttemptEnd::Broken), Verdict::GiveUp);
    let mut budget = lift_route::RetryBudget::new();
    budget.configure(0.0, 1.0);
    let first = rules(RouteKind::Idempotent).after(AttemptEnd::Broken, &mut budget);
    let second = rules(RouteKind::Idempotent).after(AttemptEnd::Broken, &mut budget);
    assert_eq!((first, second), (Verdict::Again, Verdict::GiveUp));
}

#[test]
fn an_attempt_that_reached_nobody_costs_no_budget() {
    let mut unsent = rules(RouteKind::NonIdempotent);
    unsent.arrived = 0;
    unsent.unsent = 1;
    let mut budget = lift_route::RetryBudget::new();
    budget.configure(0.0, 0.0);
    assert_eq!(
        unsent.after(AttemptEnd::NotSent, &mut budget),
        Verdict::Again
    );
    unsent.unsent = 3;
    assert_eq!(
        unsent.after(AttemptEnd::NotSent, &mut budget),
        Verdict::GiveUp
    );
}

proptest! {
    #[test]
    fn a_promise_is_made_only_for_what_has_not_run(
        end in 0..AttemptEnd::iter().count(),
        choice in 0..ChoiceReason::iter().count(),
        has_run: bool,
    ) {
        // Guards against a false "not run": 408, 421, 429 and 503 promise it.
        let promises = |reason: DeclineReason| {
            matches!(reason.http_status(), 408 | 421 | 429 | 503)
        };
        let end = AttemptEnd::iter().nth(end).unwrap();
        if has_run || !end.is_not_run() {
            prop_assert!(!promises(DeclineReason::of_attempt(end, has_run)));
        }
        let choice = ChoiceReason::iter().nth(choice).unwrap();
        prop_assert_eq!(promises(DeclineReason::of_choice(choice, has_run)), !has_run);
    }
}
