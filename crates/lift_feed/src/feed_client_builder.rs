//! Settings of a feed client.

use std::{net, sync};

use crate::{feed_client, feed_error, feed_ports, feed_setup, fleet_observer, node_card};

/// Collects what a [`feed_client::FeedClient`] needs.
#[derive(Debug, Default)]
pub struct FeedClientBuilder {
    card: Option<node_card::NodeCard>,
    ports: Option<feed_ports::FeedPorts>,
    seeds: Vec<net::IpAddr>,
    keys: Option<lift_wire::LinkKeys>,
    codec: Option<sync::Arc<dyn lift_fleet::DocumentCodec>>,
    observer: Option<sync::Arc<dyn fleet_observer::FleetObserver>>,
    log: Option<slog::Logger>,
    counters: sync::Arc<lift_obs::Counters>,
}

impl FeedClientBuilder {
    /// What control members are told about this node.
    pub fn card(mut self, card: node_card::NodeCard) -> Self {
        self.card = Some(card);
        self
    }

    /// Ports of the listeners between nodes.
    pub fn ports(mut self, ports: feed_ports::FeedPorts) -> Self {
        self.ports = Some(ports);
        self
    }

    /// Hosts of a few control members.
    pub fn seeds(mut self, seeds: Vec<net::IpAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Keys of the links between nodes.
    pub fn keys(mut self, keys: lift_wire::LinkKeys) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Decodes configuration documents. Without it no document is fetched.
    pub fn codec(mut self, codec: sync::Arc<dyn lift_fleet::DocumentCodec>) -> Self {
        self.codec = Some(codec);
        self
    }

    /// Who is told.
    pub fn observer(mut self, observer: sync::Arc<dyn fleet_observer::FleetObserver>) -> Self {
        self.observer = Some(observer);
        self
    }

    /// Logger, by default one that drops all events.
    pub fn logger(mut self, log: slog::Logger) -> Self {
        self.log = Some(log);
        self
    }

    /// Counters, by default those of this client alone.
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = counters;
        self
    }

    /// Starts to connect. Call it within a `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing.
    pub fn start(self) -> Result<feed_client::FeedClient, feed_error::FeedError> {
        let missing = feed_error::FeedError::Missing;
        let setup = feed_setup::Setup {
            card: self.card.ok_or(missing("card"))?,
            ports: self.ports.ok_or(missing("ports"))?,
            keys: self.keys.ok_or(missing("keys"))?,
            codec: self.codec,
            observer: self.observer.ok_or(missing("observer"))?,
            log: self.log.unwrap_or_else(lift_obs::LogConfig::discard),
            counters: self.counters,
        };
        Ok(feed_client::FeedClient::start(setup, &self.seeds))
    }
}
