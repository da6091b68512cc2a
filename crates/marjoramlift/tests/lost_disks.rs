//! Real processes of control that are killed after an acknowledgement and lose disks.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{path, time};

#[test]
fn an_acknowledged_document_survives_a_kill_of_all_and_a_lost_disk() {
    // Guards against an acknowledged document that is gone after the final loss of a day.
    let options = lift_soak::SoakOptions {
        seed: 1,
        length: time::Duration::from_secs(20),
        program: path::PathBuf::from(env!("CARGO_BIN_EXE_marjoramlift")),
    };
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let playing = lift_soak::run_lost_disks(&options, 96);
    let report = runtime.block_on(playing).unwrap();
    runtime.shutdown_background();
    assert_eq!(report.violations, Vec::<String>::new(), "{report:#?}");
    assert!(report.rounds > 0, "{report:#?}");
}
