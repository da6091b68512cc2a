//! Control members that meet, lose disks and leave, over loopback.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{net, sync, time};

use lift_registry::{ControlFault, ControlMember};

const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// Documents are numbers in this test.
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

    /// Loses the disk of a host whose member does not run.
    fn lose_disk(&mut self, number: usize) {
        self.disks[number] = tempfile::tempdir().unwrap();
    }
}

/// Sends a document to all members, as an operator does, until one takes it.
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
    let sent = tokio::time::timeout(PATIENCE, sending).await;
    assert!(sent.is_ok(), "document {version} was not accepted");
}

/// The document in force, as the first member that is sure tells it.
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
    tokio::time::timeout(PATIENCE, reading).await.unwrap()
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
async fn three_seeds_meet_and_two_more_join() {
    // Guards against a cluster that stays at its seeds, and so loses its quorum with two hosts.
    let fleet = Fleet::new(50, 5);
    let mut members = Vec::new();
    for number in 0..5 {
        members.push(fleet.start(number, true).await);
    }
    let all: Vec<_> = members.iter().collect();
    replace(&all, 3).await;
    assert_eq!(read(&all).await, "3");
    // Wait until the newcomers vote: then any two may stop.
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    members[0].stop().await;
    members[1].stop().await;
    let rest: Vec<_> = members[2..].iter().collect();
    replace(&rest, 4).await;
    assert_eq!(read(&rest).await, "4");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_disk_joins_again_and_nothing_is_lost() {
    // Guards against a member with an empty disk that votes under its old identifier, and
    // against a host that never comes back.
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
    // The newcomer counts now: it makes a quorum with one of the others.
    a.stop().await;
    assert_eq!(read(&[&b, &c]).await, "7");
    replace(&[&b, &c], 8).await;
    assert_eq!(read(&[&b, &c]).await, "8");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_is_acknowledged_and_other_content_changes_nothing() {
    let fleet = Fleet::new(52, 3);
    let a = fleet.start(0, true).await;
    let b = fleet.start(1, true).await;
    let c = fleet.start(2, true).await;
    let all = [&a, &b, &c];
    replace(&all, 5).await;
    replace(&all, 5).await;
    replace(&all, 4).await;
    assert_eq!(read(&all).await, "5");
    let mut refused = 0;
    for member in all {
        let reply = member
            .control()
            .replace(bytes::Bytes::from("no number"))
            .await;
        let report = reply.unwrap_err();
        refused += usize::from(matches!(report.current_context(), ControlFault::Invalid(_)));
    }
    assert_eq!(refused, 1, "the leader tells, the others name it");
    assert_eq!(read(&all).await, "5");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_minority_neither_reads_nor_acknowledges() {
    // Guards against an old configuration that is read, and a heartbeat that is acknowledged,
    // at a member that is cut off.
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
    tokio::time::timeout(PATIENCE, waiting).await.unwrap();
    a.stop().await;
    b.stop().await;
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    assert!(c.control().text().await.is_err());
    assert!(c.control().replace(bytes::Bytes::from("2")).await.is_err());
    let refused = c.control().announce(announcement(2)).unwrap_err();
    assert_eq!(*refused.current_context(), ControlFault::Unavailable);
}
