//! Takes in the state of the fleet.

use std::{sync, time};

use crate::shared;

/// Passes on what the feed tells to the state of the gateway.
#[derive(Debug)]
pub(crate) struct GatewayObserver {
    pub(crate) shared: sync::Arc<shared::Shared>,
}

impl lift_feed::FleetObserver for GatewayObserver {
    fn on_table(&self, table: sync::Arc<lift_fleet::RoutingTable>) {
        self.shared.fleet.set_table(table);
    }

    fn on_confirmed(&self, at: time::Instant) {
        self.shared.fleet.confirm(at);
    }

    fn on_backends(&self, records: Vec<lift_fleet::BackendRecord>) {
        let changed = self.shared.fleet.merge(lift_clock::now(), records);
        for record in &changed {
            let said = &record.announcement;
            slog::info!(self.shared.log.logger(), "backend server changed";
                "backend" => &said.id, "service" => &said.service,
                "address" => said.address, "state" => %said.state,
                "silent" => record.is_silent, "sequence" => said.sequence);
        }
        if !changed.is_empty() {
            self.shared.room.notify_one();
        }
    }

    fn on_weights(
        &self,
        model: &lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
        named_at: Option<time::Instant>,
    ) {
        let now = lift_clock::now();
        let age = named_at.map(|at| now.saturating_duration_since(at));
        self.shared
            .fleet
            .name_weights(now, model, version, named_at);
        slog::info!(self.shared.log.logger(), "weights named"; "model" => model,
            "version" => version, "named_for_ms" => age.map(|a| a.as_millis() as u64));
    }

    fn on_nodes(&self, nodes: Vec<lift_feed::NodeCard>) {
        let gateways = nodes
            .iter()
            .filter(|card| card.kind == lift_feed::NodeKind::Gateway);
        self.shared.fleet.set_gateways(gateways.count() as u32);
    }
}
