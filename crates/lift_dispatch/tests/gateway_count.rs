//! Guards against a limit that is divided between too few gateways.

use std::time;

#[test]
fn a_gateway_that_is_not_known_for_a_while_still_counts() {
    let start = time::Instant::now();
    let at = |s| start + time::Duration::from_secs(s);
    let mut count = lift_dispatch::GatewayCount::default();
    assert_eq!(count.largest(start), None);
    count.record(at(0), 5);
    count.record(at(1), 4);
    count.record(at(2), 1);
    assert_eq!(count.largest(at(12)), Some(5));
    count.record(at(15), 3);
    assert_eq!(count.largest(at(20)), Some(5));
    assert_eq!(count.largest(at(21)), Some(4));
    assert_eq!(count.largest(at(22)), Some(3));
    count.record(at(23), 6);
    assert_eq!(count.largest(at(23)), Some(6));
}

#[test]
fn gateways_that_end_in_series_count_as_long_as_the_series_lasts() {
    let start = time::Instant::now();
    let mut count = lift_dispatch::GatewayCount::default();
    for step in 0..1_000 {
        let now = start + time::Duration::from_millis(450 * step);
        count.record(now, if step % 2 == 0 { 5 } else { 4 });
        assert_eq!(count.largest(now), Some(5), "{step}");
    }
}

#[test]
fn a_first_list_of_one_gateway_is_not_taken_for_an_unchanged_one() {
    let start = time::Instant::now();
    let mut count = lift_dispatch::GatewayCount::default();
    assert_eq!(count.record(start, 1), None);
    assert_eq!(count.record(start, 1), Some(1));
    assert_eq!(count.record(start, 5), Some(1));
}
