//! Members that were removed while they did not answer.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use lift_registry::ControlMember;
use support::{Fleet, WAIT_TIMEOUT, read, replace};

/// Time in which a host that has joined becomes a voter.
const JOIN_TIME: time::Duration = time::Duration::from_secs(3);

/// Time in which a voter that does not answer is removed if the number of voters is even.
const REMOVAL_TIME: time::Duration = time::Duration::from_millis(6_500);

/// Starts the three seeds and one more host, and lets the second seed stand still until it is
/// removed. Returns the others.
async fn remove_second_seed(fleet: &Fleet) -> (ControlMember, ControlMember, ControlMember) {
    let first = fleet.start(0, true).await;
    let second = fleet.start(1, true).await;
    let third = fleet.start(2, true).await;
    replace(&[&first, &second, &third], 1).await;
    let fourth = fleet.start(3, false).await;
    tokio::time::sleep(JOIN_TIME).await;
    second.stop().await;
    drop(second);
    tokio::time::sleep(REMOVAL_TIME).await;
    (first, third, fourth)
}

/// Stops two of the four voters, one after the other, and checks that the others go on.
async fn lose_two(
    first: ControlMember,
    second: ControlMember,
    third: ControlMember,
    fourth: ControlMember,
) {
    third.stop().await;
    tokio::time::sleep(REMOVAL_TIME).await;
    replace(&[&first, &second, &fourth], 2).await;
    fourth.stop().await;
    assert_eq!(read(&[&first, &second]).await, "2");
    replace(&[&first, &second], 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_seed_that_was_removed_joins_again() {
    // Guards against a seed that is removed while it does not answer and then takes its first
    // number for ever, which the other members refuse: the next lost member ends control
    // (review/3).
    let fleet = Fleet::new(58, 4);
    let (first, third, fourth) = remove_second_seed(&fleet).await;
    let second = fleet.start(1, true).await;
    tokio::time::sleep(JOIN_TIME).await;
    lose_two(first, second, third, fourth).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_seed_that_was_removed_joins_again_after_it_was_killed() {
    // Guards against a host that forgets its removal when it ends before it has joined.
    let fleet = Fleet::new(59, 4);
    let (first, third, fourth) = remove_second_seed(&fleet).await;
    let second = fleet.start(1, true).await;
    let noted = async {
        while !fleet.has_retired(1) {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, noted).await.unwrap();
    second.stop().await;
    drop(second);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let second = fleet.start(1, true).await;
    tokio::time::sleep(JOIN_TIME).await;
    lose_two(first, second, third, fourth).await;
}
