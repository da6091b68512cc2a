//! Tests control members over loopback: forming a cluster, joining, lost disks and lost quorums.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{net, sync, time};

use lift_registry::{ControlMember, FleetControlError};

const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Decodes a document that consists of its version only.
#[derive(Debug)]
struct Codec;

impl lift_fleet::DocumentCodec for Codec {
    fn decode(&self, text: &[u8]) -> Result<lift_fleet::RoutingTable, lift_fleet::DocumentError> {
        let text = String::from_utf8_lossy(text);
        let unreadable = || lift_fleet::DocumentError::Unreadable(text.to_string());
        let version = text.trim().parse().map_err(|_| unreadable())?;
        Ok(lift_fleet::RoutingTable::builder(version).build()?)
    }
}

/// Hosts of one test: loopback addresses of one subnet, which share a range of ports.
struct Fleet {
    subnet: u8,
    disks: Vec<tempfile::TempDir>,
}

impl Fleet {
    fn new(subnet: u8, hosts: usize) -> Self {
        let disks = (0..hosts).map(|_| tempfile::tempdir().unwrap());
        Self {
            subnet,
            disks: disks.collect(),
        }
    }

    fn host(&self, number: usize) -> net::Ipv4Addr {
        net::Ipv4Addr::new(127, 0, self.subnet, 1 + number as u8)
    }

    fn control(&self, number: usize) -> net::SocketAddr {
        net::SocketAddr::from((self.host(number), 17_499))
    }

    async fn start(&self, number: usize, is_first: bool) -> ControlMember {
        let card = lift_feed::NodeCard {
            kind: lift_feed::NodeKind::Control,
            location: lift_types::Location {
                region: String::from("r"),
                failure_domain: String::from("d"),
                host: u32::from(self.host(number)),
            },
            service: None,
            incarnation: 1,
            load_addr: None,
            piece_addr: None,
        };
        let key = lift_wire::LinkKey::new(1, [7; 32]);
        let node = lift_feed::NodeSetup::builder()
            .card(card)
            .ports(lift_feed::FeedPorts::new(17_490..=17_493).unwrap())
            .seeds((0..3).map(|n| self.control(n)).collect())
            .keys(lift_wire::LinkKeys::new(key))
            .codec(sync::Arc::new(Codec))
            .build();
        let mut builder = ControlMember::builder()
            .node(node.unwrap())
            .folder(self.disks[number].path())
            .control(self.control(number));
        if is_first {
            builder = builder.first_start();
        }
        builder.start().await.unwrap()
    }

    /// Replaces the disk of a host by an empty one. Its member must not run.
    fn lose_disk(&mut self, number: usize) {
        self.disks[number] = tempfile::tempdir().unwrap();
    }
}

/// Sends a document to the members in turn, as an operator does, until one accepts it.
async fn replace(members: &[&ControlMember], version: u64) {
    let sending = async {
        loop {
            for member in members {
                let text = bytes::Bytes::from(version.to_string());
                if member.control().replace(text).await.is_ok() {
                    return;
                }
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    };
    let sent = tokio::time::timeout(WAIT_TIMEOUT, sending).await;
    assert!(sent.is_ok(), "document {version} was not accepted");
}

/// Returns the document in force from the first member that can confirm it.
async fn read(members: &[&ControlMember]) -> String {
    let reading = async {
        loop {
            for member in members {
                if let Ok(Some(text)) = member.control().text().await {
                    return String::from_utf8_lossy(&text).into_owned();
                }
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, reading).await.unwrap()
}

fn announcement(sequence: u64) -> lift_fleet::Announcement {
    lift_fleet::Announcement {
        id: String::from("s"),
        started_at: time::SystemTime::UNIX_EPOCH,
        sequence,
        service: String::from("ledger"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 8000)),
        failure_domain: String::from("d"),
        slots: 6,
        state: lift_fleet::BackendState::Ready,
        warmup_left: time::Duration::ZERO,
        models: Vec::new(),
    }
}

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
