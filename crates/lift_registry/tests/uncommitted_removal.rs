//! Members that hear of a removal that was never committed.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{path, sync, time};

use lift_registry::ControlMember;
use support::{Fleet, read, replace};

/// Time in which a host that has joined becomes a voter.
const JOIN_TIME: time::Duration = time::Duration::from_secs(3);

/// Time in which two members that run tell each other the members that they know.
const FEED_TIME: time::Duration = time::Duration::from_secs(1);

/// Time in which a stopped member closes its files.
const CLOSE_TIME: time::Duration = time::Duration::from_millis(300);

/// Adds the removal of `member` to the log in `folder`, as if its member had lost power as the
/// leader, before it sent the entry to anyone.
fn append_removal(folder: &path::Path, member: lift_types::MemberId) {
    let disk = sync::Arc::new(lift_disk::FileDisk::open(folder).unwrap());
    let (mut store, recovered) = lift_disk::LogStore::open(disk).unwrap();
    let members = recovered
        .entries
        .iter()
        .rev()
        .find_map(|e| match &e.payload {
            lift_consensus::Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
    let last = recovered.entries.last().unwrap();
    let entry = lift_consensus::Entry {
        index: last.index + 1,
        term: last.term,
        payload: lift_consensus::Payload::Members(members.unwrap().without(member)),
    };
    let write = lift_consensus::Write {
        entries: vec![entry],
        ..lift_consensus::Write::default()
    };
    store.write(vec![write]).unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_keeps_its_disk_when_its_removal_was_not_committed() {
    // Guards against a voter that clears its disk for an uncommitted removal: with one more disk
    // lost, an acknowledged document is gone.
    let mut fleet = Fleet::new(60, 4);
    let first = fleet.start(0, true).await;
    let second = fleet.start(1, true).await;
    let third = fleet.start(2, true).await;
    replace(&[&first, &second, &third], 1).await;
    let fourth = fleet.start(3, false).await;
    tokio::time::sleep(JOIN_TIME).await;
    stop([fourth, third, second, first]).await;
    append_removal(fleet.folder(0), 3);
    let second = fleet.start(1, false).await;
    let third = fleet.start(2, false).await;
    let fourth = fleet.start(3, false).await;
    replace(&[&second, &third, &fourth], 2).await;
    stop([second, third, fourth]).await;
    fleet.lose_disk(1);
    let first = fleet.start(0, false).await;
    let third = fleet.start(2, false).await;
    tokio::time::sleep(FEED_TIME).await;
    let second = fleet.start(1, false).await;
    let fourth = fleet.start(3, false).await;
    assert!(!fleet.has_retired(2), "a voter cleared its disk");
    assert_eq!(read(&[&first, &second, &third, &fourth]).await, "2");
}

/// Stops members and waits until their files are closed.
async fn stop(members: impl IntoIterator<Item = ControlMember>) {
    for member in members {
        member.stop().await;
    }
    tokio::time::sleep(CLOSE_TIME).await;
}
