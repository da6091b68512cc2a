//! Guards against backend servers of a region that all load a version at once, and against chunk
//! traffic that congests the link of a host.

use std::{net, time};

use lift_transfer::{CongestionEstimator, StaggeredLoad};

const MS: time::Duration = time::Duration::from_millis(1);

/// Address of a control member.
fn member(number: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, number], 1))
}

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
    estimator.record(now, member(1), 2 * MS);
    estimator.record(now, member(1), 900 * MS);
    assert_eq!(estimator.allowed_percent(now), 100);
}

#[test]
fn lowered_share_is_kept_for_a_while_after_congestion_ends() {
    // Guards against chunk traffic that congests the link again as soon as it is idle.
    let now = time::Instant::now();
    let mut estimator = CongestionEstimator::default();
    estimator.record(now, member(1), 400 * MS);
    let congested = estimator.allowed_percent(now);
    assert!(congested < 20);
    let later = now + 800 * MS;
    estimator.record(later, member(1), 2 * MS);
    assert_eq!(estimator.allowed_percent(later), congested);
    let mut later = now + 2_400 * MS;
    for share in [50, 75, 100] {
        estimator.record(later, member(1), 2 * MS);
        assert_eq!(estimator.allowed_percent(later), share);
        // Short round-trip times don't speed it up.
        estimator.record(later + 800 * MS, member(1), 2 * MS);
        assert_eq!(estimator.allowed_percent(later + 800 * MS), share);
        later += 1_600 * MS;
    }
}

#[test]
fn a_link_that_congests_again_while_its_share_rises_starts_anew() {
    // Guards against all gateways filling an idle server at once whose link is as narrow as before
    // and looks free because nothing is sent to it.
    let now = time::Instant::now();
    let mut estimator = CongestionEstimator::default();
    estimator.record(now, member(1), 400 * MS);
    estimator.record(now + 1_600 * MS, member(1), 2 * MS);
    assert_eq!(estimator.allowed_percent(now + 1_600 * MS), 50);
    estimator.record(now + 2_400 * MS, member(1), 400 * MS);
    assert!(estimator.allowed_percent(now + 2_400 * MS) < 20);
    estimator.record(now + 3_200 * MS, member(1), 2 * MS);
    assert!(estimator.allowed_percent(now + 3_200 * MS) < 20);
}

#[test]
fn a_congested_link_that_is_no_longer_measured_stays_congested() {
    // Guards against a link so congested that all connections to control members are lost, on
    // which nothing is measured any more, and which looked free therefore.
    let now = time::Instant::now();
    let mut estimator = CongestionEstimator::default();
    estimator.record(now, member(1), 400 * MS);
    let congested = estimator.allowed_percent(now);
    let later = now + 10_000 * MS;
    assert_eq!(estimator.allowed_percent(later), congested);
    assert_eq!(estimator.link_percent(later), Some(congested));
    estimator.record(later, member(1), 2 * MS);
    assert_eq!(estimator.allowed_percent(later), 50);
}

#[test]
fn a_link_that_was_never_measured_is_not_known_to_be_free() {
    // Guards against an agent that starts behind a congested link and reports it as free before
    // it has reached a control member.
    let now = time::Instant::now();
    let mut estimator = CongestionEstimator::default();
    assert_eq!(estimator.link_percent(now), None);
    estimator.record(now, member(1), 2 * MS);
    assert_eq!(estimator.link_percent(now), Some(100));
    assert_eq!(estimator.link_percent(now + 2_000 * MS), None);
    assert_eq!(estimator.allowed_percent(now + 2_000 * MS), 100);
}

#[test]
fn one_member_that_has_stopped_is_not_congestion_of_the_link() {
    // Guards against all backend servers counting as congested for seconds because the leader is
    // frozen and the other members are asked rarely.
    let now = time::Instant::now();
    let mut estimator = CongestionEstimator::default();
    estimator.record(now, member(1), 2 * MS);
    estimator.record(now, member(2), 2 * MS);
    let later = now + 800 * MS;
    estimator.record_unanswered(later, member(1), 800 * MS);
    assert_eq!(estimator.allowed_percent(later), 100);
    assert_eq!(
        estimator.link_percent(later),
        None,
        "nothing proves that it is free"
    );
    // Two members that are both silent are.
    estimator.record_unanswered(later, member(2), 400 * MS);
    assert!(estimator.allowed_percent(later) < 20);
}
