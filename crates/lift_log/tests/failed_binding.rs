//! Members whose disk fails while another one connects.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use std::{sync, time};

/// Rounds of the test: whether the answer is sent before the failed member ends is a race.
const ROUNDS: usize = 30;

/// Time in which two members connect.
const CONNECT_TIME: time::Duration = time::Duration::from_millis(200);

async fn start(
    member: &common::Member,
    disk: &sync::Arc<lift_disk::SimulatedDisk>,
    initial: &[&common::Member],
) -> lift_log::LogDriver {
    let key = lift_wire::LinkKey::new(1, [7; 32]);
    let mut builder = lift_log::LogDriver::builder()
        .id(member.id)
        .disk(sync::Arc::clone(disk) as _)
        .peer_listener(member.listener.try_clone().unwrap())
        .keys(lift_wire::LinkKeys::new(key))
        .state_machine(sync::Arc::clone(&member.ledger) as _);
    for other in initial {
        builder = builder.initial_member(other.id, other.address(), other.address());
    }
    builder.start().await.unwrap()
}

/// Guards against a member that is told to give up its own disk because the disk of another one
/// is full or fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_disk_that_fails_while_a_member_connects_says_nothing_about_that_member() {
    for round in 0..ROUNDS {
        let members: Vec<_> = (1..=2).map(common::Member::new).collect();
        let initial: Vec<_> = members.iter().collect();
        let disks = [(); 2].map(|()| sync::Arc::new(lift_disk::SimulatedDisk::new()));
        let failing = start(&members[0], &disks[0], &initial).await;
        disks[0].fail_after(0);
        let sound = start(&members[1], &disks[1], &initial).await;
        let end = tokio::time::timeout(CONNECT_TIME, sound.ended()).await;
        assert!(end.is_err(), "round {round}: {end:?}");
        failing.abort().await;
        sound.abort().await;
    }
}
