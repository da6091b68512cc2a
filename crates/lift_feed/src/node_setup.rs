//! What every node of a fleet is set up with.

use std::{net, sync};

use crate::{feed_ports, node_card, node_setup_builder};

/// Settings that all roles share: who the node is, how it finds and trusts the others, and
/// where it writes what happens.
#[derive(Clone, Debug)]
pub struct NodeSetup {
    /// What control members are told about this node.
    pub card: node_card::NodeCard,
    /// Where listeners between nodes are opened, if not at the address of the host.
    pub listen: Option<net::IpAddr>,
    /// Ports of the listeners between nodes.
    pub ports: feed_ports::FeedPorts,
    /// Addresses for operators of a few control members.
    pub seeds: Vec<net::SocketAddr>,
    /// Keys of the links between nodes.
    pub keys: lift_wire::LinkKeys,
    /// Decodes configuration documents.
    pub codec: sync::Arc<dyn lift_fleet::DocumentCodec>,
    /// Logger.
    pub log: slog::Logger,
    /// Counters of the process.
    pub counters: sync::Arc<lift_obs::Counters>,
}

impl NodeSetup {
    /// Collects the settings.
    pub fn builder() -> node_setup_builder::NodeSetupBuilder {
        node_setup_builder::NodeSetupBuilder::default()
    }

    /// Address at which listeners between nodes are opened.
    pub fn listen_host(&self) -> net::IpAddr {
        self.listen.unwrap_or(self.host())
    }

    /// Address of the host, at which the other nodes reach it.
    pub fn host(&self) -> net::IpAddr {
        net::IpAddr::from(net::Ipv4Addr::from(self.card.location.host))
    }
}
