//! Receives updates of the fleet's state.

use std::{sync, time};

use crate::shared;

/// Applies updates from the feed to the state of the gateway.
#[derive(Debug)]
pub(crate) struct GatewayObserver {
    pub(crate) shared: sync::Arc<shared::Shared>,
}

impl lift_feed::FleetObserver for GatewayObserver {
    fn on_table(&self, table: sync::Arc<lift_fleet::RoutingTable>) {
        self.shared.admissions.retain(&table);
        // Before requests use it, so that servers of a new service have their limits by then.
        let now = lift_clock::now();
        self.shared.apply_to_cold_servers(now, &table);
        self.shared.fleet.set_table(table);
    }

    fn on_confirmed(&self, at: time::Instant) {
        self.shared.fleet.set_confirmed_at(at);
    }

    fn on_backends(&self, records: Vec<lift_fleet::BackendRecord>) {
        let now = lift_clock::now();
        let shared = &self.shared;
        let changed = shared.fleet.merge(now, records, |directory, changed| {
            shared.announce_to_cold_servers(now, directory, changed);
        });
        if !changed.is_empty() {
            shared.record_state_changes(now);
        }
        for record in &changed {
            let announcement = &record.announcement;
            slog::info!(self.shared.log.logger(), "backend server changed";
                "backend" => &announcement.id, "service" => &announcement.service,
                "address" => announcement.address, "state" => %announcement.state,
                "silent" => record.is_silent, "sequence" => announcement.sequence,
                "cold_ms" => announcement.warmup_left.as_millis() as u64);
        }
        if !changed.is_empty() {
            let left_out = self.shared.fleet.backends().evacuated();
            self.shared
                .counters
                .set("gateway.evacuated_backends", left_out as u64);
            self.shared.capacity_changed.notify_one();
        }
    }

    fn on_evacuations(&self, evacuations: &lift_fleet::Evacuations) {
        let shared = &self.shared;
        // Servers of a restored failure domain may have become cold meanwhile. They count as cold
        // before the first request can reach them.
        let returning = shared.fleet.addresses_restored_by(evacuations);
        shared.mark_cold(lift_clock::now(), &returning);
        let before = shared.fleet.set_evacuations(evacuations);
        let left_out = shared.fleet.backends().evacuated();
        shared
            .counters
            .set("gateway.evacuated_backends", left_out as u64);
        log_changes(shared, &before, evacuations, left_out);
        // All waiting requests look again, so that those without a server left are refused at once.
        shared.capacity_changed.notify_waiters();
    }

    fn on_weights(
        &self,
        model: &lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
        not_before: Option<time::Instant>,
    ) {
        let now = lift_clock::now();
        let age = not_before.map(|at| now.saturating_duration_since(at));
        self.shared
            .fleet
            .set_target_version(now, model, version, not_before);
        slog::info!(self.shared.log.logger(), "weights named"; "model" => model,
            "version" => version, "named_for_ms" => age.map(|a| a.as_millis() as u64));
    }

    fn on_part_sightings(&self, sightings: Vec<lift_fleet::PartSighting>) {
        self.shared.parts.receive(&sightings);
    }

    fn on_nodes(&self, nodes: Vec<lift_feed::NodeCard>) {
        let gateways = nodes
            .iter()
            .filter(|card| card.kind == lift_feed::NodeKind::Gateway)
            .map(|card| card.location.clone());
        let gateways: Vec<lift_types::Location> = gateways.collect();
        let shares = lift_dispatch::GatewayShares::new(&self.shared.location, &gateways);
        let now = lift_clock::now();
        self.shared.cold_servers.record_gateways(now, &gateways);
        self.shared.update_cold_servers(now);
        let known = shares.total();
        let before = self.shared.fleet.set_gateways(now, shares);
        if before != Some(known) {
            slog::info!(self.shared.log.logger(), "gateways known"; "gateways" => known,
                "before" => before, "budget_for" => self.shared.fleet.gateway_count(now));
        }
    }
}

/// Logs the failure domains that are evacuated now and were not before, and the other way round.
fn log_changes(
    shared: &shared::Shared,
    before: &lift_fleet::Evacuations,
    evacuations: &lift_fleet::Evacuations,
    left_out: usize,
) {
    let log = shared.log.logger();
    let revision = evacuations.revision();
    for domain in evacuations.failure_domains() {
        if !before.contains(domain) {
            slog::info!(log, "failure domain evacuated"; "failure_domain" => domain,
                "revision" => revision, "backends_left_out" => left_out);
        }
    }
    for domain in before.failure_domains() {
        if !evacuations.contains(domain) {
            slog::info!(log, "failure domain restored"; "failure_domain" => domain,
                "revision" => revision, "backends_left_out" => left_out);
        }
    }
}
