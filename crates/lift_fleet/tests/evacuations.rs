//! Guards against an evacuation that is lost, comes back, or differs between members.

use lift_fleet::{FleetCommand, FleetReply, FleetState};

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
fn repeated_calls_change_nothing() {
    // Guards against a revision that grows with each resend, and with it the load of the feed.
    let mut state = FleetState::new();
    assert_eq!(state.apply(3, restore("a")), FleetReply::Overtaken);
    assert_eq!(state.apply(4, evacuate("a")), FleetReply::Applied);
    assert_eq!(state.apply(5, evacuate("a")), FleetReply::Overtaken);
    assert_eq!(state.evacuations().revision(), 4);
    assert_eq!(state.apply(6, restore("a")), FleetReply::Applied);
    assert_eq!(state.apply(7, restore("a")), FleetReply::Overtaken);
    assert_eq!(state.evacuations().revision(), 6);
    assert!(state.evacuations().is_empty());
}

#[test]
fn each_failure_domain_is_evacuated_by_itself() {
    // Guards against two operators who undo each other's evacuations.
    let mut state = FleetState::new();
    state.apply(1, evacuate("a"));
    state.apply(2, evacuate("b"));
    state.apply(3, restore("a"));
    assert!(!state.evacuations().contains("a"));
    assert!(state.evacuations().contains("b"));
    assert_eq!(state.evacuations().len(), 1);
    assert_eq!(state.evacuations().revision(), 3);
}

#[test]
fn commands_that_are_applied_again_change_nothing() {
    // Guards against a member whose log starts again on the state that it kept: an evacuation
    // that was withdrawn would come back, and its revision would be ahead of all others.
    let mut state = FleetState::new();
    let commands = [
        (2, evacuate("a")),
        (3, restore("a")),
        (5, evacuate("b")),
        (8, evacuate("a")),
        (9, restore("b")),
    ];
    for (index, command) in commands.clone() {
        state.apply(index, command);
    }
    let kept = state.clone();
    for (index, command) in commands {
        state.apply(index, command);
        assert_eq!(state, kept);
    }
}
