//! Guards against lost commands, two leaders and long failovers in a cluster on loopback.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use std::time;

use lift_log::ReplicatedLog as _;

/// Guards against a cluster that forgets committed commands when all members restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_members_elect_commit_and_restart() {
    let mut cluster = common::Cluster::start(3).await;
    for i in 1..=20 {
        cluster.commit(&format!("command {i}")).await;
    }
    cluster.converge().await;
    for position in 0..3 {
        cluster.kill(position).await;
    }
    for position in 0..3 {
        cluster.start_member(position).await.unwrap();
    }
    cluster.leader().await;
    cluster.converge().await;
    cluster.commit("after the restart").await;
    cluster.converge().await;
}

/// Guards against lost commands and a second leader when the leader is killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_leader_is_replaced_and_nothing_is_lost() {
    let mut cluster = common::Cluster::start(3).await;
    for _ in 0..3 {
        for _ in 0..5 {
            cluster.commit("command").await;
        }
        let killed = cluster.leader().await;
        cluster.kill(killed).await;
        cluster.commit("after the kill").await;
        cluster.start_member(killed).await.unwrap();
    }
    cluster.converge().await;
}

/// Guards against a leader that goes on while it is cut off without an error, and against a
/// second one that starts before the first has stopped.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silently_cut_leader_stops_before_another_starts() {
    let cluster = common::Cluster::start(3).await;
    cluster.commit("before").await;
    let cut = cluster.leader().await;
    let mut old = cluster.members[cut].driver().leadership();
    cluster.isolate(cut);
    let new = cluster.leader_except(cut).await;
    let valid = matches!(&*old.borrow_and_update(),
        lift_log::Leadership::Leader { lease_until, .. } if *lease_until > time::Instant::now());
    assert!(!valid, "two leases are valid");
    assert!(cluster.propose(cut, "lost").await.is_err());
    cluster.propose(new, "kept").await.unwrap();
    cluster.rejoin(cut);
    cluster.converge().await;
    let applied = cluster.history.applied();
    assert!(!applied.iter().any(|name| name.starts_with("lost")));
}

/// Guards against open connections that deliver nothing for good while new ones work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_connections_are_replaced() {
    let cluster = common::Cluster::start(3).await;
    cluster.commit("before").await;
    for (a, b) in [(1, 2), (1, 3), (2, 3)] {
        cluster.switch.stall(a, b);
    }
    cluster.commit("after").await;
    cluster.converge().await;
}

/// Guards against a planned stop that leaves the cluster without a leader for an election
/// timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_leader_hands_over() {
    let mut cluster = common::Cluster::start(3).await;
    cluster.commit("before").await;
    let stopping = cluster.leader().await;
    let driver = cluster.members[stopping].driver.take().unwrap();
    let term = driver.members().term;
    driver.stop().await;
    let refused = driver.propose("late".into()).await.unwrap_err();
    assert_eq!(*refused.current_context(), lift_log::ProposeError::Stopped);
    let new = cluster.leader().await;
    // A transfer starts the next term; a timeout would start with a pre-vote in it too, but
    // only after the former leader was missed.
    assert_eq!(cluster.members[new].driver().members().term, term + 1);
    cluster.commit("after").await;
    cluster.converge().await;
}

/// Guards against a restart from a snapshot that misses or repeats commands.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restart_uses_the_snapshot() {
    let limits = lift_consensus::Limits {
        snapshot_after_entries: 50,
        keep_entries: 10,
        ..lift_consensus::Limits::default()
    };
    let mut cluster = common::Cluster::start_with(3, limits).await;
    for _ in 0..180 {
        cluster.commit("command").await;
    }
    cluster.converge().await;
    for position in 0..3 {
        cluster.kill(position).await;
        let names = std::fs::read_dir(cluster.members[position].folder.path()).unwrap();
        let mut names = names.map(|entry| entry.unwrap().file_name().into_string().unwrap());
        assert!(names.any(|name| name.starts_with("snapshot-")));
        cluster.start_member(position).await.unwrap();
    }
    cluster.leader().await;
    cluster.converge().await;
}
