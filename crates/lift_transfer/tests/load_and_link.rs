//! Turns to load, and chunk traffic on crowded links.

use std::time;

use lift_transfer::{LinkPressure, LoadTurn};

const MS: time::Duration = time::Duration::from_millis(1);

#[test]
fn half_of_a_region_waits_while_the_other_half_loads() {
    // Guards against a region whose replicas all load at once (22 s to 24 s of quiet-1).
    let delay = |position| {
        let time_left = 5_000 * MS;
        LoadTurn {
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
fn nobody_waits_longer_than_the_old_version_is_of_use() {
    let turn = LoadTurn {
        position: 1,
        time_left: 100 * MS,
    };
    assert_eq!(turn.delay(), 100 * MS);
}

#[test]
fn one_short_round_trip_shows_a_free_link() {
    // Guards against slow members that look like a crowded link.
    let now = time::Instant::now();
    let mut pressure = LinkPressure::default();
    assert_eq!(pressure.percent(now), 100);
    pressure.add(now, 2 * MS);
    pressure.add(now, 900 * MS);
    assert_eq!(pressure.percent(now), 100);
}

#[test]
fn a_narrow_link_stays_spared_for_a_while_after_it_is_free() {
    // Guards against chunks that jam the link again as soon as it is free.
    let now = time::Instant::now();
    let mut pressure = LinkPressure::default();
    pressure.add(now, 400 * MS);
    let jammed = pressure.percent(now);
    assert!(jammed < 20);
    let later = now + 800 * MS;
    pressure.add(later, 2 * MS);
    assert_eq!(pressure.percent(later), jammed);
    let much_later = now + 2_400 * MS;
    pressure.add(much_later, 2 * MS);
    assert_eq!(pressure.percent(much_later), 100);
}
