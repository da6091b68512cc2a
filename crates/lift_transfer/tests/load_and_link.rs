//! Turns to load, and chunk traffic on crowded links.

use std::time;

use lift_transfer::{LinkPressure, LoadTurn};

const MS: time::Duration = time::Duration::from_millis(1);

#[test]
fn half_of_a_region_waits_while_the_other_half_loads() {
    // Guards against a region whose replicas all load at once (22 s to 24 s of quiet-1).
    let delay = |position| {
        let time_left = 2_500 * MS;
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
fn more_groups_take_turns_where_there_is_time() {
    // Guards against half of a large region that loads at once although the older version is
    // of use for seconds more (24 s to 27 s of quiet-1 of gcrsc-haul-grown).
    let time_left = 4_000 * MS;
    let delays = [0, 1, 2, 3].map(|position| {
        LoadTurn {
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
