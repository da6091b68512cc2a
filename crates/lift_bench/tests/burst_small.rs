//! Guards against a burst experiment that does not end, counts wrongly or lets a host answer
//! from two versions.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use lift_bench::{BurstFault, BurstOptions, run_burst};

fn options(fault: BurstFault) -> BurstOptions {
    BurstOptions {
        hosts: 4,
        regions: 2,
        bytes: 1 << 20,
        wanted_ms: 2_000,
        policy: lift_types::TransferGoal::Origin,
        fault,
        seed: 3,
        baseline_part: 16,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_small_burst_reaches_all_hosts_and_reads_the_origin_once() {
    let report = run_burst(&options(BurstFault::None)).await.unwrap();
    assert_eq!(report.served, 4);
    assert_eq!((report.wrong_answers, report.mixed_answers), (0, 0));
    assert!(report.ratio >= 1.0);
    assert!((1.0..1.1).contains(&report.origin_copies));
    assert!((3.9..4.1).contains(&report.baseline_origin_copies));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_host_is_left_out() {
    let report = run_burst(&options(BurstFault::HostLoss)).await.unwrap();
    assert_eq!(report.served, 3);
    assert_eq!((report.wrong_answers, report.mixed_answers), (0, 0));
}

#[tokio::test]
async fn invalid_options_are_refused_by_name() {
    let invalid = BurstOptions {
        regions: 9,
        ..options(BurstFault::None)
    };
    let error = run_burst(&invalid).await.unwrap_err();
    assert!(error.to_string().contains("regions"));
}
