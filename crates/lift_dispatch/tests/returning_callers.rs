//! Guards against callers that are taken for returning ones by a deadline that they choose, and
//! against times to come back that the caller can't use.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time;

use lift_dispatch::{AdmissionRates, RetryTime, ReturningCallers};

const MS: time::Duration = time::Duration::from_millis(1);

/// Callers of whom one in `every` has `time_left_ms` and the others 6 s.
fn callers(every: u32, time_left_ms: u32) -> (ReturningCallers, time::Instant) {
    let mut now = time::Instant::now();
    let mut callers = ReturningCallers::default();
    for i in 0..500 {
        now += MS * 20;
        let time_left = if i % every == 0 { time_left_ms } else { 6_000 };
        callers.record(now, MS * time_left);
    }
    (callers, now)
}

#[test]
fn a_caller_with_less_time_left_returns() {
    let (mut callers, now) = callers(5, 4_500);
    assert!(callers.record(now, MS * 4_200));
    assert!(!callers.record(now, MS * 6_000));
    assert!(!callers.record(now, MS * 5_950));
}

#[test]
fn a_short_deadline_gains_nothing() {
    let (mut callers, now) = callers(5, 1_000);
    assert!(!callers.record(now, MS * 1_000));
    assert!(!callers.record(now, time::Duration::ZERO));
}

#[test]
fn callers_whose_deadlines_vary_are_not_told_apart() {
    let (mut callers, now) = callers(2, 4_500);
    assert!(!callers.record(now, MS * 4_500));
}

#[test]
fn the_longest_time_left_is_forgotten() {
    let (mut callers, mut now) = callers(500, 60_000);
    for _ in 0..1_500 {
        now += MS * 20;
        callers.record(now, MS * 6_000);
    }
    assert!(callers.record(now, MS * 4_200));
}

#[test]
fn callers_come_back_spread_within_a_third_of_their_time() {
    for time_left in [1_100, 6_000, 60_000] {
        let time = RetryTime {
            room_after: MS * 700,
            answer_time: MS * 200,
            time_left: MS * time_left,
        };
        let (first, last) = (time.choose(0.0), time.choose(0.999));
        assert!(last <= MS * time_left / 3, "{last:?}");
        assert!(first >= MS * 150 && last >= first.mul_f64(1.5), "{first:?}");
    }
}

#[test]
fn a_caller_that_cannot_be_served_is_told_the_longer_time() {
    let time = RetryTime {
        room_after: MS * 5_500,
        answer_time: MS * 1_000,
        time_left: MS * 6_000,
    };
    assert!(time.misses_deadline());
    assert!(time.choose(0.0) >= MS * 5_500);
}

#[test]
fn nothing_is_concluded_from_a_few_refusals_or_old_ones() {
    let start = time::Instant::now();
    let mut rates = AdmissionRates::default();
    rates.record(start, false);
    assert_eq!(rates.room_after(start, MS * 1_000), None);
    for _ in 0..20 {
        rates.record(start, false);
    }
    assert!(rates.room_after(start, MS * 1_000).is_some());
    assert_eq!(rates.room_after(start, time::Duration::ZERO), None);
    assert_eq!(rates.room_after(start + MS * 20_000, MS * 1_000), None);
}
