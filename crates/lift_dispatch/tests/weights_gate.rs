//! When older weights are of no more use.

use std::time;

use lift_dispatch::{WeightsGate, WeightsNeed};

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

#[test]
fn a_server_is_asked_for_the_version_that_it_holds() {
    // Guards against requests for the lowest version allowed, which servers with a newer one
    // refuse: with two namings within the grace all streams were refused for 4 s (soak seed 118).
    let model = |version| lift_fleet::LoadedModel {
        name: String::from("m"),
        version,
    };
    let mut need = WeightsNeed {
        model: Some(String::from("m")),
        at_least: 3,
        ..WeightsNeed::default()
    };
    assert_eq!(need.asked_of(&[model(4)]), Some(4));
    assert_eq!(need.asked_of(&[model(3)]), Some(3));
    need.exactly = Some(3);
    assert_eq!(need.asked_of(&[model(4)]), Some(3));
    need = WeightsNeed {
        model: Some(String::from("m")),
        ..WeightsNeed::default()
    };
    assert_eq!(need.asked_of(&[model(4)]), None);
}
