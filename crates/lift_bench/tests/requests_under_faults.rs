//! Guards the whole path of requests under each fault: no request lost, no wrong answer, no
//! second run of a release, no false "not run".

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use lift_bench::RequestsFault;

#[tokio::test(flavor = "multi_thread")]
async fn each_fault_leaves_all_requests_right() {
    let faults = [
        RequestsFault::None,
        RequestsFault::Silent,
        RequestsFault::Crossed,
        RequestsFault::KillAgent,
        RequestsFault::KillEntry,
        RequestsFault::Drain,
    ];
    for fault in faults {
        let options = lift_bench::RequestsOptions {
            seconds: 3,
            entries: 2,
            replicas: 3,
            rate: 200,
            claim_every: 10,
            fault,
            seed: 1,
        };
        let report = lift_bench::run_requests(&options).await.unwrap();
        let faults = [
            report.lost,
            report.wrong,
            report.double_runs,
            report.false_not_run,
        ];
        assert_eq!(faults, [0; 4], "{report:?}");
        assert!(report.releases > 0 && report.rps > 0.0, "{report:?}");
    }
}
