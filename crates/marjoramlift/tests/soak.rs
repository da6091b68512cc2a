//! Short fault soaks of real processes. `lift_soak` says what is checked.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{path, time};

/// Plays a seed on a loopback network of its own.
fn play(seed: u64, length_s: u64, network: u8) {
    check(lift_soak::run(&options(seed, length_s), network));
}

fn options(seed: u64, length_s: u64) -> lift_soak::SoakOptions {
    lift_soak::SoakOptions {
        seed,
        length: time::Duration::from_secs(length_s),
        program: path::PathBuf::from(env!("CARGO_BIN_EXE_marjoramlift")),
    }
}

fn check(run: impl Future<Output = Result<lift_soak::SoakReport, lift_soak::SoakError>>) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let report = runtime.block_on(run).unwrap();
    runtime.shutdown_background();
    assert_eq!(report.violations, Vec::<String>::new(), "{report:#?}");
    assert!(report.served > 0, "{report:#?}");
}

#[test]
fn a_short_soak_breaks_no_promise() {
    // Guards against any broken promise under faults that overlap.
    play(1, 8, 90);
}

#[test]
fn planned_work_ends_no_request_without_an_answer() {
    // Guards against a stop, a repeated signal or a change that cuts off a request.
    check(lift_soak::run_planned(&options(4, 12), 95));
}

#[test]
fn seed_13_serves_streams_after_a_spoilt_origin() {
    // The soak counted requests with a key that was taken away as not served.
    play(13, 20, 91);
}

#[test]
fn seed_27_serves_after_a_lost_disk() {
    // The soak counted requests with a key that was taken away as not served.
    play(27, 20, 92);
}

#[test]
fn seed_45_keeps_a_leader() {
    // Control had no leader for 12 s, once, beside a build that kept the disk of all members
    // busy: a leader whose sync takes a second steps down, and votes need syncs.
    play(45, 20, 93);
}

#[test]
fn seed_118_serves_streams_after_two_namings() {
    // Gateways asked for the lowest version allowed, and servers with a newer one refused.
    play(118, 20, 94);
}

#[test]
fn no_stream_is_written_on_a_piece_that_had_been_spoilt_for_seconds() {
    // The agent's check of all pieces took longer than a piece may have been spoilt.
    check(lift_soak::run_spoilt_pieces(&options(1, 0), 117));
}

#[test]
fn nothing_reaches_an_evacuated_failure_domain() {
    // Guards against an evacuation that a restarted or paused process, or a lost disk, undoes.
    check(lift_soak::run_evacuations(&options(1, 6), 118));
}
