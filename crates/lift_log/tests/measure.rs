//! Measurements against the targets of `docs/design.md`, section 1.7. They are ignored by
//! default, because a verdict must not depend on a measured time:
//! `cargo test --release -p lift_log --test measure -- --ignored --nocapture --test-threads 1`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use std::{sync, time};

use lift_log::ReplicatedLog as _;
use sync::atomic;

/// Rounds of each failover.
const ROUNDS: usize = 20;

fn report(name: &str, mut times: Vec<time::Duration>) {
    times.sort_unstable();
    let ms = |time: time::Duration| time.as_secs_f64() * 1_000.0;
    println!(
        "{name}_p50_ms {:.0} {name}_max_ms {:.0} rounds {}",
        ms(times[times.len() / 2]),
        ms(times[times.len() - 1]),
        times.len()
    );
}

/// Time from the loss of the leader to the first command that another one commits.
async fn failover(cluster: &common::Cluster, lost: usize, from: time::Instant) -> time::Duration {
    loop {
        let new = cluster.leader_except(lost).await;
        let proposed = cluster.members[new].driver().propose("x".into()).await;
        if proposed.is_ok() {
            return from.elapsed();
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
#[ignore = "measurement"]
async fn failover_after_a_kill() {
    let mut cluster = common::Cluster::start_unrecorded(3).await;
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        cluster.commit("x").await;
        let lost = cluster.leader().await;
        let from = time::Instant::now();
        cluster.kill(lost).await;
        times.push(failover(&cluster, lost, from).await);
        cluster.start_member(lost).await.unwrap();
        cluster.converge_unrecorded().await;
    }
    report("failover_kill", times);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
#[ignore = "measurement"]
async fn failover_after_a_silent_cut() {
    let cluster = common::Cluster::start_unrecorded(3).await;
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        cluster.commit("x").await;
        let lost = cluster.leader().await;
        let from = time::Instant::now();
        cluster.isolate(lost);
        times.push(failover(&cluster, lost, from).await);
        cluster.rejoin(lost);
        cluster.converge_unrecorded().await;
    }
    report("failover_cut", times);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
#[ignore = "measurement"]
async fn failover_after_all_connections_stall() {
    let cluster = common::Cluster::start_unrecorded(3).await;
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        cluster.commit("x").await;
        let from = time::Instant::now();
        for (a, b) in [(1, 2), (1, 3), (2, 3)] {
            cluster.switch.stall(a, b);
        }
        times.push(failover(&cluster, usize::MAX, from).await);
        cluster.converge_unrecorded().await;
    }
    report("failover_stall", times);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
#[ignore = "measurement"]
async fn parallel_commits() {
    let cluster = common::Cluster::start_unrecorded(3).await;
    let leader = cluster.leader().await;
    for proposers in [1, 64, 512] {
        let until = time::Instant::now() + time::Duration::from_secs(5);
        let count = atomic::AtomicU64::new(0);
        let latencies = parking_lot::Mutex::new(Vec::new());
        let one = async || {
            while time::Instant::now() < until {
                let from = time::Instant::now();
                let command = bytes::Bytes::from_static(&[7; 100]);
                cluster.members[leader]
                    .driver()
                    .propose(command)
                    .await
                    .unwrap();
                count.fetch_add(1, atomic::Ordering::Relaxed);
                latencies.lock().push(from.elapsed());
            }
        };
        let syncs = cluster.counters.value("log.syncs");
        futures_util::future::join_all((0..proposers).map(|_| one())).await;
        let syncs = cluster.counters.value("log.syncs") - syncs;
        let count = count.into_inner();
        println!(
            "proposers {proposers} commits_per_s {} syncs_per_s {}",
            count / 5,
            syncs / 5
        );
        report("commit", latencies.into_inner());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
#[ignore = "measurement"]
async fn restart_after_a_million_changes() {
    let mut cluster = common::Cluster::start_unrecorded(3).await;
    let leader = cluster.leader().await;
    let left = atomic::AtomicI64::new(1_000_000);
    let one = async || {
        while left.fetch_sub(1, atomic::Ordering::Relaxed) > 0 {
            let command = bytes::Bytes::from_static(&[7; 100]);
            cluster.members[leader]
                .driver()
                .propose(command)
                .await
                .unwrap();
        }
    };
    let from = time::Instant::now();
    futures_util::future::join_all((0..2_000).map(|_| one())).await;
    println!("million_commits_s {:.1}", from.elapsed().as_secs_f64());
    let before = cluster.converge_unrecorded().await;
    for position in 0..3 {
        cluster.kill(position).await;
        let files = std::fs::read_dir(cluster.members[position].folder.path()).unwrap();
        let bytes: u64 = files
            .map(|file| file.unwrap().metadata().unwrap().len())
            .sum();
        println!("member {} disk_bytes {bytes}", position + 1);
    }
    let from = time::Instant::now();
    for position in 0..3 {
        let from = time::Instant::now();
        cluster.start_member(position).await.unwrap();
        println!("open_ms {}", from.elapsed().as_millis());
    }
    cluster.leader().await;
    assert_eq!(cluster.converge_unrecorded().await, before);
    println!("restart_ms {}", from.elapsed().as_millis());
}
