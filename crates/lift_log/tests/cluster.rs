//! Guards against lost commands, two leaders and long failovers in a cluster on loopback.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

/// Guards against a cluster that forgets committed commands when all members restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_members_elect_commit_and_restart() {
    let mut cluster = common::Cluster::start(3).await;
    for i in 1..=20 {
        assert_eq!(cluster.commit(&format!("command {i}")).await, i);
    }
    let before = cluster.converge().await;
    for position in 0..3 {
        cluster.kill(position).await;
    }
    for position in 0..3 {
        cluster.start_member(position).await.unwrap();
    }
    cluster.leader().await;
    assert_eq!(cluster.converge().await, before);
    assert_eq!(cluster.commit("after the restart").await, 21);
}
