//! Runs the configuration experiment with each fault on a small fleet. Guards against lost,
//! reverted and doubly won changes, and against changes that are not in force in time.

#![allow(clippy::unwrap_used, clippy::panic)]

use lift_bench::{ConfigFault, ConfigOptions};

/// Time in which a change must be in force everywhere, in milliseconds.
const IN_FORCE_MS: f64 = 3_000.0;

async fn run(fault: ConfigFault) {
    let options = ConfigOptions {
        members: 3,
        nodes: 6,
        changes: 30,
        fault,
        seed: 7,
        pause_ms: 20,
    };
    let report = lift_bench::run_config(&options).await.unwrap();
    let faults = (report.lost, report.reverted, report.double_wins);
    assert_eq!(faults, (0, 0, 0), "{report:?}");
    assert!(report.in_force_max_ms <= IN_FORCE_MS, "{report:?}");
    assert_eq!(report.changes, options.changes, "{report:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_leader_loses_no_change() {
    run(ConfigFault::KillLeader).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_is_cut_off_confirms_nothing() {
    run(ConfigFault::CutLeader).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_disk_and_a_lost_leader_right_after_lose_no_change() {
    run(ConfigFault::LoseDisk).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_changes_with_one_revision_exactly_one_is_accepted() {
    run(ConfigFault::Race).await;
}

/// Guards against a run with options that no figure is meant for.
#[tokio::test]
async fn invalid_options_are_refused() {
    let options = ConfigOptions {
        members: 4,
        nodes: 6,
        changes: 1,
        fault: ConfigFault::None,
        seed: 1,
        pause_ms: 1,
    };
    let error = lift_bench::run_config(&options).await.unwrap_err();
    assert_eq!(
        error.current_context().to_string(),
        "members: 4; allowed: 3 or 5"
    );
}
