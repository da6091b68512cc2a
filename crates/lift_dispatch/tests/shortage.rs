//! Plays shortages of capacity through the admission by rank and checks what callers get.
//!
//! The bounds are those of `docs/design/hard-load.md`, part 5. The figures of a run are printed with
//! `--nocapture`.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod shortage_load;

use shortage_load::{Deployment, Fleet, Outcome, Tally};

/// How much less often a kind may be served than a less urgent one.
const MAX_LESS_SERVED: f64 = 0.05;

/// How much smaller the earned share of a kind's value may be than that of a less urgent one.
const MAX_LESS_WORTH: f64 = 0.15;

/// Smallest share of its value that a kind earns.
const MIN_WORTH: f64 = 0.38;

/// How often a kind or workspace is served at least, as a share of how often all are.
const MIN_SERVED: f64 = 0.25;

/// How often the largest requests are served at least, as a share of how often their kind is.
const MIN_LARGE_SERVED: f64 = 0.5;

/// Kinds of the first deployment.
const LEAST_URGENT: usize = 0;
const MOST_URGENT: usize = 1;
const BETWEEN: usize = 2;

fn play(name: &str, deployment: &Deployment) -> Outcome {
    let before = Fleet::new(deployment.clone(), false).play();
    let after = Fleet::new(deployment.clone(), true).play();
    for (kind, terms) in deployment.kinds.iter().enumerate() {
        let text = |outcome: &Outcome| {
            let tally = &outcome.kinds[kind];
            let [largest, large] = &outcome.sizes[kind];
            let (served, in_time) = (tally.served(), tally.in_time());
            let worth = tally.worth(terms.late_worth);
            let refused = tally.refused_first();
            let (largest, large) = (largest.served(), large.served());
            format!(
                "served {served:.3} in time {in_time:.3} worth {worth:.3} refused at first \
                 {refused:.3} largest {largest:.2} large {large:.2}"
            )
        };
        let priority = terms.priority;
        println!(
            "{name}: kind {kind} priority {priority} before: {}",
            text(&before)
        );
        println!(
            "{name}: kind {kind} priority {priority} after:  {}",
            text(&after)
        );
    }
    let least = |outcome: &Outcome| {
        let served = outcome.workspaces.iter().map(Tally::served);
        served.fold(1.0, f64::min)
    };
    println!(
        "{name}: workspace served least: before {:.2} after {:.2}",
        least(&before),
        least(&after)
    );
    after
}

fn all(tallies: &[Tally]) -> Tally {
    let mut sum = Tally::default();
    tallies.iter().for_each(|tally| sum.add(tally));
    sum
}

fn check_floors(name: &str, deployment: &Deployment, outcome: &Outcome) {
    let served = all(&outcome.kinds).served();
    for (tally, kind) in outcome.kinds.iter().zip(&deployment.kinds) {
        assert!(tally.served() >= MIN_SERVED * served, "{name}: {tally:?}");
        let worth = tally.worth(kind.late_worth);
        assert!(worth >= MIN_WORTH, "{name}: {worth} {tally:?}");
    }
    for tally in &outcome.workspaces {
        assert!(tally.served() >= MIN_SERVED * served, "{name}: {tally:?}");
    }
    for (kind, sizes) in outcome.kinds.iter().zip(&outcome.sizes) {
        for size in sizes {
            let bound = MIN_LARGE_SERVED * kind.served();
            assert!(size.served() >= bound, "{name}: {size:?}");
        }
    }
    assert_eq!(
        outcome.needless, 0,
        "{name}: refused while places were free"
    );
}

fn check_order(name: &str, deployment: &Deployment, outcome: &Outcome) {
    let kinds = || deployment.kinds.iter().zip(&outcome.kinds);
    for (urgent, urgent_tally) in kinds() {
        for (other, tally) in kinds().filter(|(other, _)| other.priority > urgent.priority) {
            let served = urgent_tally.served();
            assert!(
                served >= tally.served() - MAX_LESS_SERVED,
                "{name}: {served} {tally:?}"
            );
            let worth = urgent_tally.worth(urgent.late_worth);
            let bound = tally.worth(other.late_worth) - MAX_LESS_WORTH;
            assert!(worth >= bound, "{name}: {worth} {tally:?}");
        }
    }
}

#[test]
fn urgent_kinds_are_served_first_and_no_kind_starves() {
    // Guards against a kind with a long target latency that gets places when urgent ones get none,
    // and against shares of kinds, workspaces or sizes that are too small.
    let first = Deployment::first;
    let mut cases = vec![
        (String::from("fifth lost"), first().with_lost_engines(6_000)),
        (String::from("overload of 1.3"), first().with_load(1.3)),
    ];
    for kind in [LEAST_URGENT, MOST_URGENT, BETWEEN] {
        for factor in [1.6, 2.5] {
            let name = format!("kind {kind} x{factor}");
            let deployment = first().with_burst(kind, factor, 6_000, 12_000);
            let lost = deployment.clone().with_lost_engines(4_000);
            cases.push((format!("{name}, fifth lost"), lost));
            cases.push((name, deployment));
        }
    }
    for (name, deployment) in cases {
        let outcome = play(&name, &deployment);
        check_floors(&name, &deployment, &outcome);
        check_order(&name, &deployment, &outcome);
    }
}

#[test]
fn workspaces_of_other_priorities_keep_their_floors() {
    // Guards against workspaces that starve because others are more urgent, in both deployments.
    let first = Deployment::first().with_burst(MOST_URGENT, 2.0, 6_000, 12_000);
    let second = Deployment::second().with_burst(0, 2.0, 6_000, 12_000);
    for (name, deployment) in [("first", first), ("second", second)] {
        let deployment = deployment.with_workspace_priorities(&[0, 1, 1, 2]);
        let name = format!("{name}, priorities of workspaces");
        let outcome = play(&name, &deployment);
        check_floors(&name, &deployment, &outcome);
    }
}

#[test]
fn a_burst_of_the_least_urgent_kind_leaves_the_others_alone() {
    // Guards against a rank whose requests fill the queues that others need.
    for factor in [1.6, 2.0, 2.5] {
        let deployment = Deployment::first().with_burst(LEAST_URGENT, factor, 6_000, 12_000);
        let name = format!("kind {LEAST_URGENT} x{factor}");
        let outcome = play(&name, &deployment);
        for kind in [MOST_URGENT, BETWEEN] {
            let tally = &outcome.kinds[kind];
            let worth = tally.worth(deployment.kinds[kind].late_worth);
            assert!(tally.served() >= 1.0 - MAX_LESS_SERVED, "{name}: {tally:?}");
            assert!(worth >= 1.0 - MAX_LESS_WORTH, "{name}: {worth} {tally:?}");
        }
    }
}

#[test]
fn a_burst_of_the_most_urgent_kind_starves_none_for_more_than_seconds() {
    // Guards against less urgent ranks that get nothing while the burst lasts or after it. The load
    // leaves some capacity, so that random peaks after the burst are no shortages of their own.
    const WINDOW_S: usize = 2;
    let deployment = Deployment::first().with_load(0.75);
    let deployment = deployment.with_burst(MOST_URGENT, 2.5, 6_000, 12_000);
    let outcome = play("load of 0.75, kind 1 x2.5", &deployment);
    for kind in &outcome.slices {
        for (start, window) in kind.windows(WINDOW_S).enumerate() {
            let others = outcome.slices.iter();
            let others: Vec<_> = others
                .map(|kind| all(&kind[start..start + WINDOW_S]))
                .collect();
            let bound = MIN_SERVED * all(&others).served();
            let tally = all(window);
            assert!(tally.served() >= bound, "from {start} s: {tally:?}");
        }
        let last = all(&kind[kind.len() - WINDOW_S..]);
        assert!(last.refused_first() <= MAX_LESS_SERVED, "after: {last:?}");
    }
}

#[test]
fn nothing_is_refused_while_half_of_the_places_are_free() {
    // Guards against ranks that stay limited, or are limited by a short burst, while there are places.
    let deployment = Deployment::first()
        .with_load(0.35)
        .with_burst(MOST_URGENT, 1.6, 5_000, 7_000)
        .with_burst(LEAST_URGENT, 1.6, 8_000, 12_000);
    let outcome = play("load of 0.35", &deployment);
    assert_eq!(outcome.needless, 0);
    for tally in &outcome.kinds {
        assert_eq!(tally.refused_first, 0, "{tally:?}");
    }
    // With more gateways than servers a gateway often has none of the free places.
    let mut few = Deployment::first()
        .with_load(0.5)
        .with_burst(MOST_URGENT, 4.0, 5_000, 7_000)
        .with_burst(MOST_URGENT, 4.0, 10_000, 12_000);
    few.engines = 6;
    assert_eq!(play("6 servers", &few).needless, 0);
}
