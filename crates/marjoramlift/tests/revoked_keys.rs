//! Keys that are taken away from a fleet of real processes.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::path;

#[test]
fn no_request_runs_once_all_keys_were_taken_away() {
    // Guards against a list of tenants without any key that lets everybody in, also at processes
    // that start, wake or lose their disk afterwards (review/1).
    let program = path::PathBuf::from(env!("CARGO_BIN_EXE_marjoramlift"));
    let options = lift_soak::StormOptions::builder()
        .program(program)
        .gateways(2);
    let options = options.build().unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let playing = lift_soak::run_revoked_keys(&options, 98);
    let violations = runtime.block_on(playing).unwrap();
    runtime.shutdown_background();
    assert_eq!(violations, Vec::<String>::new());
}
