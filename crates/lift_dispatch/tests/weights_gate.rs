//! When older weights are of no more use.

use std::time;

use lift_dispatch::WeightsGate;

const S: time::Duration = time::Duration::from_secs(1);

fn gate() -> (WeightsGate, time::Instant, String) {
    let now = time::Instant::now() + 1_000 * S;
    (WeightsGate::new(6 * S), now, String::from("m"))
}

#[test]
fn each_version_counts_from_its_own_naming() {
    // Guards against a second version that renews the time of the one before (VERSION on
    // scale-1 of satula-reitti).
    let (mut gate, now, m) = gate();
    gate.name(now, &m, 2, Some(now));
    gate.name(now + 3 * S, &m, 3, Some(now + 3 * S));
    assert_eq!(gate.at_least(now + 5 * S, &m), 0);
    assert_eq!(gate.at_least(now + 7 * S, &m), 2);
    assert_eq!(gate.at_least(now + 10 * S, &m), 3);
    assert_eq!(gate.newest(&m), 3);
    assert_eq!(gate.time_left(now, &m, 1), Some(6 * S));
    assert_eq!(gate.time_left(now + 3 * S, &m, 2), Some(6 * S));
    assert_eq!(gate.time_left(now, &m, 3), None);
}

#[test]
fn a_node_that_starts_later_does_not_renew_the_time() {
    // Guards against a gateway that restarts after the naming (VERSION in a hunt on
    // gcrsc-haul, scale-1 --seed 907283102808).
    let (mut gate, now, m) = gate();
    gate.name(now, &m, 2, Some(now - 7 * S));
    assert_eq!(gate.at_least(now, &m), 2);
    let (mut gate, now, m) = self::gate();
    gate.name(now, &m, 2, None);
    assert_eq!(
        gate.at_least(now, &m),
        2,
        "named long ago, as far as is known"
    );
    gate.name(now, &m, 2, Some(now - S));
    assert_eq!(gate.at_least(now, &m), 0, "a member knows better");
}

#[test]
fn slow_servers_need_the_new_version_earlier() {
    let (mut gate, now, m) = gate();
    gate.name(now, &m, 2, Some(now));
    assert_eq!(gate.at_least_if_slow(now + 3 * S, &m), 0);
    assert_eq!(gate.at_least_if_slow(now + 4 * S, &m), 2);
    assert_eq!(gate.at_least(now + 4 * S, &m), 0);
}
