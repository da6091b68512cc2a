//! Short fault soaks of real processes. `lift_soak` says what is checked.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{path, time};

/// Plays a seed on a loopback network of its own.
fn play(seed: u64, length_s: u64, network: u8) {
    let options = lift_soak::SoakOptions {
        seed,
        length: time::Duration::from_secs(length_s),
        program: path::PathBuf::from(env!("CARGO_BIN_EXE_marjoramlift")),
    };
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let report = runtime.block_on(lift_soak::run(&options, network)).unwrap();
    runtime.shutdown_background();
    assert_eq!(report.violations, Vec::<String>::new(), "{report:#?}");
    assert!(report.served > 0, "{report:#?}");
}

#[test]
fn a_short_soak_breaks_no_promise() {
    // Guards against any broken promise under faults that overlap.
    play(1, 8, 90);
}
