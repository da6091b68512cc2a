//! Collects what every node is set up with.

use std::{net, sync};

use crate::{feed_error, feed_ports, node_card, node_setup};

/// Builds a [`node_setup::NodeSetup`].
#[derive(Debug, Default)]
pub struct NodeSetupBuilder {
    card: Option<node_card::NodeCard>,
    listen: Option<net::IpAddr>,
    ports: Option<feed_ports::FeedPorts>,
    seeds: Vec<net::SocketAddr>,
    keys: Option<lift_wire::LinkKeys>,
    codec: Option<sync::Arc<dyn lift_fleet::DocumentCodec>>,
    log: Option<slog::Logger>,
    counters: sync::Arc<lift_obs::Counters>,
}

impl NodeSetupBuilder {
    /// What control members are told about this node.
    pub fn card(mut self, card: node_card::NodeCard) -> Self {
        self.card = Some(card);
        self
    }

    /// Where listeners between nodes are opened, if not at the address of the host.
    pub fn listen(mut self, listen: Option<net::IpAddr>) -> Self {
        self.listen = listen;
        self
    }

    /// Ports of the listeners between nodes.
    pub fn ports(mut self, ports: feed_ports::FeedPorts) -> Self {
        self.ports = Some(ports);
        self
    }

    /// Addresses for operators of a few control members.
    pub fn seeds(mut self, seeds: Vec<net::SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Keys of the links between nodes.
    pub fn keys(mut self, keys: lift_wire::LinkKeys) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Decodes configuration documents.
    pub fn codec(mut self, codec: sync::Arc<dyn lift_fleet::DocumentCodec>) -> Self {
        self.codec = Some(codec);
        self
    }

    /// Logger, by default one that drops all events.
    pub fn logger(mut self, log: slog::Logger) -> Self {
        self.log = Some(log);
        self
    }

    /// Counters, by default those of this node alone.
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = counters;
        self
    }

    /// Checks that nothing without a default is missing.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing.
    pub fn build(self) -> Result<node_setup::NodeSetup, feed_error::FeedError> {
        let missing = feed_error::FeedError::Missing;
        Ok(node_setup::NodeSetup {
            card: self.card.ok_or(missing("card"))?,
            listen: self.listen,
            ports: self.ports.ok_or(missing("ports"))?,
            seeds: self.seeds,
            keys: self.keys.ok_or(missing("keys"))?,
            codec: self.codec.ok_or(missing("codec"))?,
            log: self.log.unwrap_or_else(lift_obs::LogConfig::discard),
            counters: self.counters,
        })
    }
}
