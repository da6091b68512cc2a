//! Takes in the state of the fleet.

use std::{net, sync, time};

use crate::shared;

/// Passes on what the feed tells to the tasks of the agent.
#[derive(Debug)]
pub(crate) struct AgentObserver {
    pub(crate) shared: sync::Arc<shared::Shared>,
}

impl lift_feed::FleetObserver for AgentObserver {
    fn on_table(&self, table: sync::Arc<lift_fleet::RoutingTable>) {
        self.shared.table.send_replace(Some(table));
    }

    fn on_weights(
        &self,
        model: &lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
        not_before: Option<time::Instant>,
    ) {
        slog::info!(self.shared.log, "weights named"; "model" => model, "version" => version);
        self.shared.named.send_modify(|named| {
            named.set_target(lift_clock::now(), model, version, not_before);
        });
    }

    fn on_round_trip(&self, member: net::SocketAddr, round_trip: time::Duration) {
        let now = lift_clock::now();
        let mut pressure = self.shared.pressure.lock();
        pressure.record(now, member, round_trip);
    }

    fn on_unanswered(&self, member: net::SocketAddr, waited: time::Duration) {
        let now = lift_clock::now();
        let mut pressure = self.shared.pressure.lock();
        pressure.record_unanswered(now, member, waited);
    }

    fn on_nodes(&self, nodes: Vec<lift_feed::NodeCard>) {
        self.shared.nodes.send_if_modified(|known| {
            let is_new = *known != nodes;
            *known = nodes;
            is_new
        });
    }
}
