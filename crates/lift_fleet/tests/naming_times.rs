//! When versions of weights were named.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time;

use lift_fleet::NamingTimes;

const S: time::Duration = time::Duration::from_secs(1);

#[test]
fn an_unknown_time_counts_until_another_is_learned() {
    let now = time::Instant::now();
    let mut times = NamingTimes::default();
    assert!(times.learn(2, None));
    assert!(!times.learn(2, None));
    assert!(times.learn(2, Some(now)));
    assert!(!times.learn(2, None), "a time that is known stays");
    assert!(!times.learn(2, Some(now - S)), "the latest tells most");
    assert_eq!(times.get(2).unwrap().not_before, Some(now));
    assert!(times.learn(2, Some(now + S)));
}

#[test]
fn the_first_newer_naming_limits_a_version_whenever_it_is_learned() {
    let now = time::Instant::now();
    let mut times = NamingTimes::default();
    times.learn(4, Some(now));
    times.learn(2, None);
    times.learn(3, Some(now));
    assert_eq!(times.superseding(1).unwrap().version, 2);
    assert_eq!(times.superseding(2).unwrap().version, 3);
    assert_eq!(times.superseding(4), None);
    assert_eq!(times.newest().unwrap().version, 4);
}

#[test]
fn forgetting_the_oldest_naming_does_not_extend_the_use_of_older_versions() {
    let now = time::Instant::now();
    let mut times = NamingTimes::default();
    for version in 2..=40 {
        times.learn(version, Some(now + S * version as u32));
    }
    assert!(times.iter().count() <= 9);
    let limit = times.superseding(1).unwrap();
    assert_eq!(limit.not_before, Some(now + 2 * S));
    // Another member that forgets less may know better, but not of what is forgotten here.
    let oldest = limit.version;
    assert!(!times.learn(oldest, Some(now + 90 * S)));
    assert!(!times.learn(2, Some(now + 90 * S)));
    assert_eq!(
        times.superseding(1).unwrap().not_before,
        Some(now + 2 * S),
        "it stands for those before it"
    );
}
