//! What a feed client was set up with.

use std::sync;

use crate::{feed_ports, fleet_observer, node_card};

/// Settings of a feed client.
#[derive(Debug)]
pub(crate) struct Setup {
    pub(crate) card: node_card::NodeCard,
    pub(crate) ports: feed_ports::FeedPorts,
    pub(crate) keys: lift_wire::LinkKeys,
    pub(crate) codec: Option<sync::Arc<dyn lift_fleet::DocumentCodec>>,
    pub(crate) observer: sync::Arc<dyn fleet_observer::FleetObserver>,
    pub(crate) log: slog::Logger,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
}
