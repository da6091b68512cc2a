//! Guards against evacuations that a snapshot or a restart of the log loses or brings back.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use lift_fleet::FleetCommand;
use lift_log::StateMachine as _;
use lift_registry::FleetStateMachine;

/// A snapshot without a document that the program wrote before failure domains could be evacuated.
const EARLIER_EMPTY: [u8; 2] = [0, 0];

/// A snapshot of that program with a document of version 300 and version 7 of a model.
const EARLIER_FULL: [u8; 12] = [1, 172, 2, 4, 116, 101, 120, 116, 1, 1, 109, 7];

fn apply(machine: &FleetStateMachine, index: u64, command: &FleetCommand) {
    let command = FleetStateMachine::encode(command).unwrap();
    assert!(!machine.apply(index, &command).is_empty());
}

fn evacuate(failure_domain: &str) -> FleetCommand {
    FleetCommand::Evacuate {
        failure_domain: String::from(failure_domain),
    }
}

fn restore(failure_domain: &str) -> FleetCommand {
    FleetCommand::Restore {
        failure_domain: String::from(failure_domain),
    }
}

#[test]
fn snapshots_of_the_earlier_program_are_restored() {
    // Guards against a member that stops at its first start under the new program.
    let machine = FleetStateMachine::new();
    assert!(machine.restore(&EARLIER_EMPTY));
    assert_eq!(machine.head(), lift_feed::FleetHead::default());
    assert!(machine.restore(&EARLIER_FULL));
    assert_eq!(machine.document().unwrap().compressed, "text");
    let head = machine.head();
    assert_eq!((head.document, head.weights["m"].version), (300, 7));
    assert!(head.evacuations.is_empty());
    apply(&machine, 9, &evacuate("east"));
    assert!(machine.head().evacuations.contains("east"));
}

#[test]
fn snapshots_hold_evacuations_and_damaged_ones_are_refused() {
    // Guards against a member that joins by a snapshot and tells gateways that nothing is
    // evacuated.
    let machine = FleetStateMachine::new();
    assert!(machine.restore(&EARLIER_FULL));
    apply(&machine, 9, &evacuate("east"));
    apply(&machine, 12, &evacuate("west"));
    let snapshot = machine.snapshot();
    let other = FleetStateMachine::new();
    assert!(other.restore(&snapshot));
    assert_eq!(other.head(), machine.head());
    assert_eq!(other.confirmation().evacuations, 12);
    let kept = other.head();
    for length in (0..snapshot.len()).filter(|length| *length != EARLIER_FULL.len()) {
        assert!(!other.restore(&snapshot[..length]), "{length} bytes");
    }
    assert!(!other.restore(&[&snapshot[..], &[0]].concat()));
    assert_eq!(other.head(), kept);
}

#[test]
fn a_restart_of_the_log_keeps_the_revision() {
    // Guards against a member that counts replayed commands again: its revision would be ahead
    // of the leader's, and nodes would keep its set for good.
    let machine = FleetStateMachine::new();
    let commands = [(2, evacuate("east")), (3, restore("east"))];
    for (index, command) in &commands {
        apply(&machine, *index, command);
    }
    let snapshot = machine.snapshot();
    apply(&machine, 5, &evacuate("west"));
    apply(&machine, 6, &restore("west"));
    let head = machine.head();
    machine.reset();
    for (index, command) in &commands {
        apply(&machine, *index, command);
        assert_eq!(machine.head(), head, "index {index}");
    }
    machine.reset();
    assert!(machine.restore(&snapshot));
    apply(&machine, 5, &evacuate("west"));
    apply(&machine, 6, &restore("west"));
    assert_eq!(machine.head(), head);
}
