//! Plays loads through the selection of many gateways and checks what callers get.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod played_load;

use played_load::{Fleet, Load};

/// Share of the admitted requests whose first event must be in time: the target of the product.
const IN_TIME_SHARE: f64 = 0.95;

/// Share of what the engines bear that must be served in time under any load. What lacks is lost
/// to gateways that act on delayed reports.
const USED_CAPACITY_SHARE: f64 = 0.9;

/// Time at the start that does not count, in milliseconds.
const WARM_UP_MS: u64 = 3_000;

/// Gateways and engines of each region, in fleets of several sizes.
const FLEETS: [&[(usize, usize)]; 6] = [
    &[(2, 4); 3],
    &[(4, 15); 3],
    &[(10, 24); 5],
    &[(10, 24)],
    &[(20, 24)],
    &[(52, 120)],
];

#[test]
fn many_gateways_spread_requests_between_reports() {
    // Guards against gateways that all choose the server which looked least loaded in the same
    // report, and so fill it while others are idle. The load is 85% of what the engines bear.
    for fleet in FLEETS {
        let outcome = Fleet::new(fleet).play(Load::share_of_capacity(0.85), WARM_UP_MS);
        assert!(
            outcome.in_time_share() >= IN_TIME_SHARE,
            "{fleet:?}: {outcome:?}"
        );
        assert!(outcome.refused_share() <= 0.02, "{fleet:?}: {outcome:?}");
    }
}

#[test]
fn an_overload_costs_no_more_than_what_exceeds_the_capacity() {
    // Guards against free places that each gateway fills at once, so that all requests wait in
    // the queues of the engines and nearly none is in time. The load is 120% of the capacity.
    for fleet in FLEETS {
        let outcome = Fleet::new(fleet).play(Load::share_of_capacity(1.2), WARM_UP_MS);
        let bound = USED_CAPACITY_SHARE / 1.2;
        assert!(outcome.served_share() >= bound, "{fleet:?}: {outcome:?}");
    }
}

#[test]
fn a_burst_that_ends_is_forgotten_within_two_seconds() {
    // Guards against an overload that keeps itself up: full engines answer slowly, and so stay
    // full after the burst. The burst is from 5 to 9 s, at 170% of the capacity.
    for fleet in FLEETS {
        let load = Load::share_of_capacity(0.8).with_burst(1.7, 5_000, 9_000);
        let outcome = Fleet::new(fleet).play(load, 11_000);
        assert!(
            outcome.in_time_share() >= IN_TIME_SHARE,
            "{fleet:?}: {outcome:?}"
        );
        assert!(outcome.refused_share() <= 0.02, "{fleet:?}: {outcome:?}");
    }
}

#[test]
fn a_full_region_uses_the_free_places_of_others() {
    // Guards against a region that refuses requests while others are idle. One of five regions
    // gets three times as many requests as it bears; the fleet bears them.
    let mut fleet = Fleet::new(&[(10, 24); 5]).with_demand(0, 6.0);
    let outcome = fleet.play(Load::share_of_capacity(0.8), WARM_UP_MS);
    assert!(outcome.in_time_share() >= IN_TIME_SHARE, "{outcome:?}");
    assert!(outcome.refused_share() <= 0.05, "{outcome:?}");
}

#[test]
fn callers_of_a_region_without_engines_are_served_elsewhere() {
    let mut fleet = Fleet::new(&[(10, 0), (10, 24), (10, 24), (10, 24), (10, 24)]);
    let outcome = fleet.play(Load::share_of_capacity(0.8), WARM_UP_MS);
    assert!(outcome.in_time_share() >= IN_TIME_SHARE, "{outcome:?}");
    assert!(outcome.refused_share() <= 0.05, "{outcome:?}");
}
