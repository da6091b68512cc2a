//! Hosts of control members.

use std::{net, path, sync};

use lift_registry::ControlMember;

use super::codec;

/// Hosts of one test: loopback addresses of one subnet, which share a range of ports.
pub(crate) struct Fleet {
    subnet: u8,
    disks: Vec<tempfile::TempDir>,
}

impl Fleet {
    pub(crate) fn new(subnet: u8, hosts: usize) -> Self {
        let disks = (0..hosts).map(|_| tempfile::tempdir().unwrap());
        Self {
            subnet,
            disks: disks.collect(),
        }
    }

    pub(crate) fn host(&self, number: usize) -> net::Ipv4Addr {
        net::Ipv4Addr::new(127, 0, self.subnet, 1 + number as u8)
    }

    pub(crate) fn control(&self, number: usize) -> net::SocketAddr {
        net::SocketAddr::from((self.host(number), 17_499))
    }

    fn node(&self, number: usize, kind: lift_feed::NodeKind) -> lift_feed::NodeSetup {
        let card = lift_feed::NodeCard {
            kind,
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
            .codec(sync::Arc::new(codec::Codec))
            .build();
        node.unwrap()
    }

    /// Follows the members from a host of its own, as a gateway does.
    pub(crate) fn follow(
        &self,
        number: usize,
        observer: sync::Arc<dyn lift_feed::FleetObserver>,
    ) -> lift_feed::FeedClient {
        let node = self.node(number, lift_feed::NodeKind::Gateway);
        lift_feed::FeedClient::start(node, observer)
    }

    pub(crate) async fn start(&self, number: usize, is_first: bool) -> ControlMember {
        let mut builder = ControlMember::builder()
            .node(self.node(number, lift_feed::NodeKind::Control))
            .folder(self.disks[number].path())
            .control(self.control(number))
            .failure_domain(String::from("east"))
            .failure_domain(String::from("west"));
        if is_first {
            builder = builder.first_start();
        }
        builder.start().await.unwrap()
    }

    /// Folder with the files of a host. Its member must not run while they are changed.
    pub(crate) fn folder(&self, number: usize) -> &path::Path {
        self.disks[number].path()
    }

    /// Replaces the disk of a host by an empty one. Its member must not run.
    pub(crate) fn lose_disk(&mut self, number: usize) {
        self.disks[number] = tempfile::tempdir().unwrap();
    }

    /// Whether a host has noted that its member was removed.
    pub(crate) fn has_retired(&self, number: usize) -> bool {
        self.disks[number].path().join("retired").exists()
    }
}
