//! The clock of leases and confirmations.

use std::{thread, time};

#[test]
fn never_goes_back_and_keeps_up_with_the_monotonic_clock() {
    // Guards against a clock that stands still or runs at another rate, which would make a
    // lease seem valid for too long.
    let (clock, monotonic) = (lift_clock::now(), time::Instant::now());
    let mut last = clock;
    for _ in 0..20 {
        thread::sleep(time::Duration::from_millis(2));
        let now = lift_clock::now();
        assert!(now > last);
        last = now;
    }
    let (passed, expected) = (last - clock, monotonic.elapsed());
    assert!(passed.abs_diff(expected) < time::Duration::from_millis(20));
}
