//! Selection of a backend server.

use std::{sync, time};

use crate::{
    backend, backend_load, backend_score, distances, gateway_shares, lowest_cost, region_balance,
    selection_error, weights_requirement,
};

/// Share of the target latency within which the prompt must be read. The rest covers the round
/// trip and the tokens that the engine generates for other requests between parts of a prompt.
const PREFILL_SHARE: f64 = 0.75;

/// A link that can carry less traffic than this, in percent of the usual traffic, counts as
/// congested. Requests wait on it for seconds, and so do the resets of cancelled ones.
const CONGESTED_LINK_PERCENT: u32 = 25;

/// Requests that may be missing in a load report without its link counting as congested, since
/// one may just have finished.
const MAX_MISSING_REQUESTS: u32 = 1;

/// One in this many links may appear congested. If more do, the cause is probably slow control
/// members, against which agents measure their links.
const CONGESTED_BACKENDS_DIVISOR: usize = 3;

/// Whether a backend server is to be avoided, and its cost as a share of its slots: a cost of 1
/// equals the load of one request in every slot.
pub(crate) type Cost = (bool, f64);

/// Computes the score of a backend server from its load.
pub type ScoreFn<'a> = &'a dyn Fn(&backend_load::BackendLoad) -> backend_score::BackendScore;

/// Selects the backend server for one attempt.
#[derive(Debug)]
pub struct BackendSelector<'a> {
    /// Time of the selection.
    pub now: time::Instant,
    /// Region of the gateway.
    pub region: &'a str,
    /// Costs of the ways to the backend servers. `None` if another region has a fixed cost.
    pub distances: Option<&'a distances::Distances>,
    /// Gateways that share the backend servers, this one included.
    pub gateways: &'a gateway_shares::GatewayShares,
    /// Division of the servers between regions. `None` if each region has most of its own ones,
    /// whatever it needs.
    pub balance: Option<&'a region_balance::RegionBalance>,
    /// Weights that the request needs.
    pub weights: &'a weights_requirement::WeightsRequirement,
    /// Requests that a backend server may have in addition to those in its slots, as a share
    /// of the slots.
    pub queue_share: f64,
    /// Time in which an engine reads a typical prompt. Zero if it is unknown or there are no
    /// prompts to read.
    pub prefill_time: time::Duration,
    /// Latency that callers should see.
    pub target_latency: time::Duration,
    /// Regions in which the request may run.
    pub allowed_regions: &'a lift_fleet::AllowedRegions,
    /// Backend servers to which the request was sent before.
    pub tried: &'a [lift_fleet::BackendId],
}

impl BackendSelector<'_> {
    /// Selects the backend server with the lowest cost among those that can accept the request.
    /// Those to be avoided come after the others. Those behind congested links are selected only
    /// if no other can accept the request and so many links appear congested that slow control
    /// members are the likelier cause.
    ///
    /// `with_load` calls a function with the load of a backend server; `draw` is a random number
    /// that spreads requests over backend servers of equal cost.
    ///
    /// # Errors
    ///
    /// Returns why no backend server can get the request.
    pub fn select(
        &self,
        backends: &[sync::Arc<backend::Backend>],
        with_load: &dyn Fn(&backend::Backend, ScoreFn<'_>) -> backend_score::BackendScore,
        draw: usize,
    ) -> Result<sync::Arc<backend::Backend>, selection_error::SelectionError> {
        if backends.is_empty() {
            return Err(selection_error::SelectionError::NoBackend);
        }
        let mut uncongested = lowest_cost::LowestCost::default();
        let mut congested = lowest_cost::LowestCost::default();
        let mut allowed_count = 0;
        let mut congested_count = 0;
        let mut error = selection_error::SelectionError::Tried;
        let start = draw % backends.len();
        for backend in backends[start..].iter().chain(&backends[..start]) {
            if !self.allowed_regions.contains(backend.region.as_deref()) {
                continue;
            }
            allowed_count += 1;
            if self.tried.contains(&backend.id) {
                continue;
            }
            let score = with_load(backend, &|load| self.score(backend, load));
            congested_count += usize::from(score.is_congested);
            match score.cost {
                Ok(cost) if score.is_congested => congested.update(cost, backend),
                Ok(cost) => uncongested.update(cost, backend),
                Err(latest) => error = prefer_full(error, latest),
            }
        }
        if allowed_count == 0 {
            return Err(selection_error::SelectionError::NoAllowedRegion);
        }
        let (uncongested, congested) = (uncongested.backend(), congested.backend());
        if uncongested.is_none()
            && congested.is_some()
            && congested_count * CONGESTED_BACKENDS_DIVISOR <= allowed_count
        {
            return Err(selection_error::SelectionError::Full);
        }
        let best = uncongested.or(congested);
        best.map(sync::Arc::clone).ok_or(error)
    }

    /// Whether the link is congested: the agent reports that it can carry little traffic, or
    /// requests of this gateway are missing in the report.
    fn is_congested(&self, load: &backend_load::BackendLoad) -> bool {
        let percent = self.link_percent(load);
        let is_narrow = percent.is_some_and(|percent| percent < CONGESTED_LINK_PERCENT);
        is_narrow || load.missing_requests(self.now) > MAX_MISSING_REQUESTS
    }

    /// Traffic that the link can carry, in percent of the usual traffic. `None` if that is not
    /// known.
    pub(crate) fn link_percent(&self, load: &backend_load::BackendLoad) -> Option<u32> {
        load.fresh_sample(self.now)?.link_percent
    }

    fn score(
        &self,
        backend: &backend::Backend,
        load: &backend_load::BackendLoad,
    ) -> backend_score::BackendScore {
        let is_congested = self.is_congested(load);
        backend_score::BackendScore {
            is_congested,
            cost: self.check_cost(backend, load, is_congested),
        }
    }

    /// Cost of the request at one backend server, or why it can't be sent there.
    fn check_cost(
        &self,
        backend: &backend::Backend,
        load: &backend_load::BackendLoad,
        is_congested: bool,
    ) -> Result<Cost, selection_error::SelectionError> {
        if !self.can_serve(backend, load, is_congested) {
            return Err(selection_error::SelectionError::NoWeights);
        }
        let requests = load.estimate_requests(self.now, self.gateways.total());
        if !self.has_capacity(backend, load, requests) || !self.can_prefill_in_time(load) {
            return Err(selection_error::SelectionError::Full);
        }
        let is_avoided = load.health.is_avoided(self.now) || self.is_stalled(load);
        Ok((is_avoided, self.cost(backend, load, requests)))
    }

    /// Whether the backend server holds the weights that the request needs and is not loading
    /// others. A fresh sample takes precedence over the announcement.
    fn can_serve(
        &self,
        backend: &backend::Backend,
        load: &backend_load::BackendLoad,
        is_congested: bool,
    ) -> bool {
        match load.fresh_sample(self.now) {
            Some(sample) => {
                // A link that could not be measured may be congested.
                let is_link_free = self.link_percent(load) == Some(100);
                let is_slow = self.head_penalty(load) > 0.0 || !is_link_free || is_congested;
                !sample.is_loading && self.weights.is_met_by(&sample.models, is_slow)
            }
            None => self.weights.is_met_by(&backend.models, true),
        }
    }

    /// Whether one more request fits into the slots and the allowed queue, as far as this gateway
    /// may use them.
    fn has_capacity(
        &self,
        backend: &backend::Backend,
        load: &backend_load::BackendLoad,
        requests: u32,
    ) -> bool {
        let places = (f64::from(backend.slots) * (1.0 + self.queue_share))
            .floor()
            .max(1.0);
        let own_share = |free: f64, random: f64| {
            let region = backend.region.as_deref();
            self.gateways.places(region, self.balance, free, random)
        };
        match load.own_places(self.now, places, &own_share) {
            Some(own_places) => own_places > 0,
            None => f64::from(requests) + 1.0 <= places,
        }
    }

    /// Whether the engine will have read the prompt early enough to meet the target latency, or
    /// reads it next.
    fn can_prefill_in_time(&self, load: &backend_load::BackendLoad) -> bool {
        let ahead = load.prompts_ahead(self.now);
        let read_after = self.prefill_time.saturating_mul(ahead.saturating_add(1));
        ahead == 0 || read_after <= self.target_latency.mul_f64(PREFILL_SHARE)
    }
}

/// Combines the errors of two backend servers. `Full` takes precedence, since a slot may soon
/// be free. `Cold` comes before the others.
fn prefer_full(
    known: selection_error::SelectionError,
    new: selection_error::SelectionError,
) -> selection_error::SelectionError {
    match (known, new) {
        (selection_error::SelectionError::Full, _) => known,
        (_, selection_error::SelectionError::Full) => new,
        (selection_error::SelectionError::Cold, _) => known,
        _ => new,
    }
}
