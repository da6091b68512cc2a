//! What a control member tells about the versions of weights that were named.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time;

use lift_log::StateMachine as _;

/// Applies a naming at a member to which the leader has just answered that it holds no newer version
/// than this member.
fn name(machine: &lift_registry::FleetStateMachine, index: u64, version: u64) {
    machine.record_leader_head(lift_clock::now(), &machine.head());
    apply(machine, index, version);
}

fn apply(machine: &lift_registry::FleetStateMachine, index: u64, version: u64) {
    let command = lift_fleet::FleetCommand::SetTargetVersion {
        model: String::from("m"),
        version,
    };
    let command = lift_registry::FleetStateMachine::encode(&command).unwrap();
    machine.apply(index, &command);
}

#[test]
fn the_head_tells_when_earlier_versions_were_named() {
    // Guards against a gateway that starts after two namings and hears of the second one only.
    let machine = lift_registry::FleetStateMachine::new();
    name(&machine, 1, 1);
    machine.end_replay();
    name(&machine, 2, 2);
    std::thread::sleep(time::Duration::from_millis(50));
    name(&machine, 3, 3);
    let head = machine.head();
    let named = &head.weights["m"];
    assert_eq!(named.version, 3);
    let versions: Vec<_> = named.earlier.iter().map(|e| e.version).collect();
    assert_eq!(versions, [1, 2]);
    let (replayed, earlier) = (named.earlier[0].named_for, named.earlier[1].named_for);
    assert_eq!(replayed, None, "the time of the replayed one is not known");
    assert!(earlier.unwrap() >= named.named_for.unwrap() + time::Duration::from_millis(50));
    for version in 4..=30 {
        name(&machine, version, version);
    }
    assert!(machine.head().weights["m"].earlier.len() <= 8);
}

#[test]
fn a_naming_that_is_replayed_late_is_not_taken_for_a_new_one() {
    let machine = lift_registry::FleetStateMachine::new();
    // A member without a leader replays its log after seconds.
    std::thread::sleep(time::Duration::from_millis(3_100));
    name(&machine, 1, 2);
    assert_eq!(machine.head().weights["m"].named_for, None);
    machine.end_replay();
    name(&machine, 2, 3);
    assert!(machine.head().weights["m"].named_for.is_some());
}

#[test]
fn a_replayed_naming_counts_for_a_gateway_that_starts_after_the_next_one() {
    let machine = lift_registry::FleetStateMachine::new();
    name(&machine, 1, 2);
    machine.end_replay();
    name(&machine, 2, 3);
    let versions: Vec<_> = machine.head().weights["m"]
        .earlier
        .iter()
        .map(|e| e.version)
        .collect();
    assert_eq!(versions, [2]);
}

#[test]
fn a_restart_of_the_log_does_not_make_a_naming_younger() {
    let machine = lift_registry::FleetStateMachine::new();
    machine.reset();
    name(&machine, 1, 1);
    machine.end_replay();
    let snapshot = machine.snapshot();
    name(&machine, 2, 2);
    std::thread::sleep(time::Duration::from_millis(50));
    machine.reset();
    assert!(machine.restore(&snapshot));
    name(&machine, 2, 2);
    machine.end_replay();
    let named_for = machine.head().weights["m"].named_for.unwrap();
    assert!(
        named_for >= time::Duration::from_millis(50),
        "{named_for:?}"
    );
}

#[test]
fn a_naming_missed_during_a_restart_of_the_log_has_no_time() {
    let machine = lift_registry::FleetStateMachine::new();
    machine.reset();
    machine.end_replay();
    name(&machine, 1, 1);
    machine.reset();
    name(&machine, 1, 1);
    name(&machine, 2, 2);
    assert_eq!(machine.head().weights["m"].named_for, None);
    machine.end_replay();
    assert_eq!(machine.head().weights["m"].named_for, None);
    name(&machine, 3, 3);
    assert!(machine.head().weights["m"].named_for.is_some());
}

#[test]
fn a_naming_from_a_snapshot_counts_for_a_gateway_that_starts_after_the_next_one() {
    let (machine, other) = (
        lift_registry::FleetStateMachine::new(),
        lift_registry::FleetStateMachine::new(),
    );
    name(&machine, 1, 2);
    assert!(other.restore(&machine.snapshot()));
    other.end_replay();
    name(&other, 2, 3);
    let head = other.head();
    let earlier = &head.weights["m"].earlier;
    assert_eq!(earlier.len(), 1);
    assert_eq!((earlier[0].version, earlier[0].named_for), (2, None));
}

#[test]
fn a_member_that_forgets_old_namings_does_not_extend_the_use_of_older_weights() {
    let machine = lift_registry::FleetStateMachine::new();
    machine.end_replay();
    name(&machine, 1, 2);
    std::thread::sleep(time::Duration::from_millis(50));
    for version in 3..=30 {
        name(&machine, version, version);
    }
    let head = machine.head();
    let first = &head.weights["m"].earlier[0];
    assert!(first.version > 3, "the first ones are forgotten");
    assert!(first.named_for.unwrap() >= time::Duration::from_millis(50));
}

#[test]
fn a_naming_that_a_member_applies_late_is_not_dated_by_its_arrival() {
    // Guards against a member that was cut off without a restart.
    let machine = lift_registry::FleetStateMachine::new();
    machine.end_replay();
    name(&machine, 1, 2);
    let asked_at = lift_clock::now();
    machine.record_leader_head(asked_at, &machine.head());
    std::thread::sleep(time::Duration::from_millis(150));
    apply(&machine, 2, 3);
    let named_for = machine.head().weights["m"].named_for.unwrap();
    assert!(named_for >= time::Duration::from_millis(150));
    assert!(named_for <= lift_clock::now() - asked_at);
}

#[test]
fn a_naming_that_a_member_can_not_date_has_no_time_until_another_member_tells_it() {
    let machine = lift_registry::FleetStateMachine::new();
    machine.end_replay();
    apply(&machine, 1, 2);
    assert_eq!(machine.head().weights["m"].named_for, None);
    // An answer that holds the version already tells nothing of the time before.
    machine.record_leader_head(lift_clock::now(), &machine.head());
    apply(&machine, 2, 2);
    assert_eq!(machine.head().weights["m"].named_for, None);
    machine.learn_naming(&String::from("m"), 2, Some(lift_clock::now()));
    assert!(machine.head().weights["m"].named_for.is_some());
}
