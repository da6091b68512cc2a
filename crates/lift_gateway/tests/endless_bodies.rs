//! Many answers without an end at once. In a file of its own, since it measures the memory of the
//! process.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{fs, time};

use support::{Backend, Fleet, Reply, Step};

/// Memory of the smallest host that runs a gateway, in megabytes.
const SMALL_HOST_MB: u64 = 160;

/// Head of an answer in chunks.
const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: 1\r\ntransfer-encoding: chunked\r\n\r\n";

/// Largest memory that this process has used, in megabytes.
fn peak_memory_mb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.unwrap().trim().trim_end_matches("kB").trim();
    kilobytes.parse::<u64>().unwrap() / 1024
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_bodies_don_t_fail_good_answers() {
    // Guards against many endless answers that use up the memory of the host.
    let endless = Reply::Script(vec![
        Step::send(CHUNKED_HEAD),
        Step::Repeat(format!("4000\r\n{}\r\n", "x".repeat(0x4000)), 0),
    ]);
    let backend = Backend::start(&vec![endless; 12]).await;
    let fleet = Fleet::start(92, &[&backend]).await;
    let good = Backend::start(&[]).await;
    let calls = (0..12).map(|i| {
        let id = format!("e{i}");
        let fleet = &fleet;
        async move { fleet.call("non_idempotent", &id).await.0 }
    });
    let calling = futures_util::future::join_all(calls);
    let serving = async {
        while backend.received().len() < 8 {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
        fleet.announce(&good, 2);
        fleet.drain(&backend, 3);
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        for i in 0..50 {
            let id = format!("g{i}");
            assert_eq!(fleet.call("non_idempotent", &id).await.1, "done");
        }
    };
    let (statuses, ()) = tokio::join!(calling, serving);
    assert!(
        statuses
            .iter()
            .all(|status| matches!(status, 502..=504 | 200))
    );
    assert!(statuses.contains(&502), "{statuses:?}");
    let peak = peak_memory_mb();
    assert!(peak < SMALL_HOST_MB, "{peak} MB");
}
