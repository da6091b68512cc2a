//! Guards against backend servers of a region that all load a version at once, and against chunk
//! traffic that congests the link of a host.

use std::time;

use lift_transfer::{CongestionEstimator, StaggeredLoad};

const MS: time::Duration = time::Duration::from_millis(1);

#[test]
fn half_of_a_region_waits_while_the_other_half_loads() {
    // Guards against a region whose backend servers all load at once, as they did from 22 s to
    // 24 s of the benchmark day quiet-1.
    let delay = |position| {
        let time_left = 2_500 * MS;
        StaggeredLoad {
            position,
            time_left,
        }
        .delay()
    };
    assert_eq!(delay(0), time::Duration::ZERO);
    assert!(delay(1) > 1_000 * MS);
    assert_eq!(delay(2), delay(0));
    assert_eq!(delay(3), delay(1));
}

#[test]
fn longer_remaining_time_splits_a_region_into_more_groups() {
    // Guards against half of a large region loading at once although the older version receives
    // requests for seconds more, as it did from 24 s to 27 s of the benchmark day quiet-1 on the
    // site gcrsc-haul-grown.
    let time_left = 4_000 * MS;
    let delays = [0, 1, 2, 3].map(|position| {
        StaggeredLoad {
            position,
            time_left,
        }
        .delay()
    });
    assert!(delays[0] < delays[1] && delays[1] < delays[2]);
    assert_eq!(delays[3], delays[0]);
    assert!(delays[2] < time_left);
}

#[test]
fn delay_does_not_exceed_the_remaining_time_of_the_old_version() {
    let load = StaggeredLoad {
        position: 1,
        time_left: 100 * MS,
    };
    assert_eq!(load.delay(), 100 * MS);
}

#[test]
fn one_short_round_trip_leaves_the_full_share() {
    // Guards against treating a slow control member as congestion of the link.
    let now = time::Instant::now();
    let mut estimator = CongestionEstimator::default();
    assert_eq!(estimator.allowed_percent(now), 100);
    estimator.record(now, 2 * MS);
    estimator.record(now, 900 * MS);
    assert_eq!(estimator.allowed_percent(now), 100);
}

#[test]
fn lowered_share_is_kept_for_a_while_after_congestion_ends() {
    // Guards against chunk traffic that congests the link again as soon as it is idle.
    let now = time::Instant::now();
    let mut estimator = CongestionEstimator::default();
    estimator.record(now, 400 * MS);
    let congested = estimator.allowed_percent(now);
    assert!(congested < 20);
    let later = now + 800 * MS;
    estimator.record(later, 2 * MS);
    assert_eq!(estimator.allowed_percent(later), congested);
    let much_later = now + 2_400 * MS;
    estimator.record(much_later, 2 * MS);
    assert_eq!(estimator.allowed_percent(much_later), 100);
}
