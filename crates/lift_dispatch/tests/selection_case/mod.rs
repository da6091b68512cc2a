//! A selection of a backend server with given loads.

use std::{net, sync, time};

use lift_dispatch::{
    Backend, BackendLoad, BackendSelector, GatewayShares, LoadSample, ScoreFn, SelectionError,
    WeightsRequirement,
};

pub(crate) const MS: time::Duration = time::Duration::from_millis(1);

fn backend(id: u8, region: &str) -> sync::Arc<Backend> {
    sync::Arc::new(Backend {
        id: format!("s{id}"),
        address: net::SocketAddr::from(([10, 0, 0, id], 8000)),
        region: Some(String::from(region)),
        failure_domain: format!("{region}-1"),
        slots: 4,
        models: vec![model(1)],
        is_silent: false,
    })
}

fn gateway(host: u32) -> lift_types::Location {
    lift_types::Location {
        region: String::from("here"),
        failure_domain: String::from("here-1"),
        host,
    }
}

fn model(version: u64) -> lift_fleet::LoadedModel {
    lift_fleet::LoadedModel {
        name: String::from("m"),
        version,
    }
}

/// A load report with `requests` requests and nothing unusual. Its random number gives this gateway,
/// the first of two, the turn if a single place is free.
pub(crate) fn sample(received_at: time::Instant, requests: u32) -> LoadSample {
    LoadSample {
        requests,
        queued_prompts: 0,
        models: vec![model(1)],
        link_percent: Some(100),
        is_loading: false,
        random: 0.25,
        received_at,
    }
}

/// A selection by the first of two gateways.
pub(crate) struct Case {
    pub(crate) now: time::Instant,
    backends: Vec<sync::Arc<Backend>>,
    pub(crate) loads: Vec<BackendLoad>,
    pub(crate) cold: Vec<lift_dispatch::ColdState>,
    pub(crate) weights: WeightsRequirement,
    pub(crate) allowed_regions: lift_fleet::AllowedRegions,
    pub(crate) distances: Option<lift_dispatch::Distances>,
    pub(crate) tried: Vec<String>,
}

impl Case {
    /// Creates a case with one server in each of the `regions`. The gateways are in `here`.
    pub(crate) fn new(regions: &[&str]) -> Self {
        let backends: Vec<_> = (0..).zip(regions).map(|(i, r)| backend(i, r)).collect();
        Self {
            now: time::Instant::now() + 10_000 * MS,
            loads: vec![BackendLoad::default(); backends.len()],
            cold: vec![lift_dispatch::ColdState::Warm; backends.len()],
            backends,
            weights: WeightsRequirement {
                model: Some(String::from("m")),
                ..WeightsRequirement::default()
            },
            allowed_regions: lift_fleet::AllowedRegions::default(),
            distances: None,
            tried: Vec::new(),
        }
    }

    /// The servers.
    #[allow(dead_code)]
    pub(crate) fn backends(&self) -> &[sync::Arc<Backend>] {
        &self.backends
    }

    /// Identifier of the selected server.
    pub(crate) fn select(&self) -> Result<String, SelectionError> {
        let selector = BackendSelector {
            now: self.now,
            region: "here",
            distances: self.distances.as_ref(),
            balance: None,
            gateways: &GatewayShares::new(&gateway(1), &[gateway(1), gateway(2)]),
            weights: &self.weights,
            queue_share: 0.0,
            prefill_time: 40 * MS,
            target_latency: 400 * MS,
            allowed_regions: &self.allowed_regions,
            tried: &self.tried,
        };
        let with_load = |b: &Backend, score: ScoreFn<'_>| {
            let position = self.backends.iter().position(|c| c.id == b.id).unwrap();
            score(&self.loads[position]).with_cold(self.cold[position])
        };
        let selected = selector.select(&self.backends, &with_load, 1);
        selected.map(|b| b.id.clone())
    }
}
