//! Retry storms of real processes. `lift_soak` says what is counted.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{path, time};

/// Plays a storm on a loopback network of its own.
fn play(options: lift_soak::StormOptionsBuilder, network: u8) -> lift_soak::StormReport {
    let program = path::PathBuf::from(env!("CARGO_BIN_EXE_marjoramlift"));
    let options = options.program(program).build().unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let report = runtime.block_on(lift_soak::run_retry_storm(&options, network));
    runtime.shutdown_background();
    report.unwrap()
}

#[test]
fn gateways_that_are_killed_in_series_keep_the_budget_of_repeats() {
    // Each new process began with a full share of the burst.
    let options = lift_soak::StormOptions::builder()
        .length(time::Duration::from_secs(15))
        .restart_interval(time::Duration::from_millis(900));
    let report = play(options, 81);
    assert!(report.arrived > 300, "{report:?}");
    let worst = report.worst_window.unwrap();
    assert!(worst.used_part() <= 1.0, "{report:?}");
}
