//! Tests control members over loopback: forming a cluster, joining, lost disks and lost quorums.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use lift_registry::FleetControlError;
use support::{Fleet, WAIT_TIMEOUT, announcement, read, replace};

#[tokio::test(flavor = "multi_thread")]
async fn three_seeds_form_a_cluster_and_two_more_hosts_join() {
    // Guards against a cluster that keeps only its seeds as members, and so loses its quorum when
    // two of them stop.
    let fleet = Fleet::new(50, 5);
    let mut members = Vec::new();
    for number in 0..5 {
        members.push(fleet.start(number, true).await);
    }
    let all: Vec<_> = members.iter().collect();
    replace(&all, 3).await;
    assert_eq!(read(&all).await, "3");
    // Wait until the two joined members are voters: then any two members may stop.
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    members[0].stop().await;
    members[1].stop().await;
    let rest: Vec<_> = members[2..].iter().collect();
    replace(&rest, 4).await;
    assert_eq!(read(&rest).await, "4");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_rejoins_with_an_empty_disk_and_the_document_survives() {
    // Guards against a member that votes under its old identifier after it lost its disk, and
    // against a host that can't rejoin.
    let mut fleet = Fleet::new(51, 3);
    let (a, b) = (fleet.start(0, true).await, fleet.start(1, true).await);
    let c = fleet.start(2, true).await;
    replace(&[&a, &b, &c], 7).await;
    c.stop().await;
    drop(c);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    fleet.lose_disk(2);
    let c = fleet.start(2, false).await;
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    // The rejoined member is a voter now: it forms a quorum with one of the others.
    a.stop().await;
    assert_eq!(read(&[&b, &c]).await, "7");
    replace(&[&b, &c], 8).await;
    assert_eq!(read(&[&b, &c]).await, "8");
}

#[tokio::test(flavor = "multi_thread")]
async fn resent_older_and_invalid_documents_change_nothing() {
    // Guards against an operator that gets an error for a repeated document, and against an older
    // or invalid document that replaces the one in force.
    let fleet = Fleet::new(52, 3);
    let a = fleet.start(0, true).await;
    let b = fleet.start(1, true).await;
    let c = fleet.start(2, true).await;
    let all = [&a, &b, &c];
    replace(&all, 5).await;
    replace(&all, 5).await;
    replace(&all, 4).await;
    assert_eq!(read(&all).await, "5");
    let mut rejected = 0;
    for member in all {
        let reply = member
            .control()
            .replace(bytes::Bytes::from("no number"))
            .await;
        let report = reply.unwrap_err();
        rejected += usize::from(matches!(
            report.current_context(),
            FleetControlError::Invalid(_)
        ));
    }
    assert_eq!(rejected, 1, "only the leader validates the document");
    assert_eq!(read(&all).await, "5");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_without_a_quorum_rejects_reads_documents_and_heartbeats() {
    // Guards against a member that is cut off from the quorum and still returns an old document
    // or acknowledges a heartbeat.
    let fleet = Fleet::new(53, 3);
    let a = fleet.start(0, true).await;
    let b = fleet.start(1, true).await;
    let c = fleet.start(2, true).await;
    replace(&[&a, &b, &c], 1).await;
    let waiting = async {
        while c.control().announce(announcement(1)).is_err() {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting).await.unwrap();
    a.stop().await;
    b.stop().await;
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    assert!(c.control().text().await.is_err());
    assert!(c.control().replace(bytes::Bytes::from("2")).await.is_err());
    let rejected = c.control().announce(announcement(2)).unwrap_err();
    assert_eq!(*rejected.current_context(), FleetControlError::Unavailable);
}
