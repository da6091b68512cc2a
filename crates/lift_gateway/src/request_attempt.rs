//! Attempts of one request.

use std::{cell, sync, time};

use rand::RngExt as _;

use crate::{attempt_error, backend_call, cold_place, exchange, in_flight_request, request_run};

/// Divisor of the target latency that gives the longest time for which a request waits for a
/// backend server that can accept it. After that, the request is rejected, since a rejected caller
/// can retry sooner than one that waits in vain.
const SLOT_WAIT_DIVISOR: u32 = 8;

impl request_run::RequestRun {
    /// Selects a backend server and sends the request to it. `last_event` is the number of the last
    /// event of the stream that the caller has received.
    ///
    /// # Errors
    ///
    /// Returns an error if no attempt could be made, or if the attempt failed. A failed attempt is
    /// recorded.
    pub(crate) async fn attempt(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<exchange::Exchange, attempt_error::AttemptError> {
        self.check_parts()?;
        let backend = self
            .select_backend()
            .await
            .map_err(attempt_error::AttemptError::Rejected)?;
        let now = lift_clock::now();
        self.check_still_valid(now)?;
        // The selection may have waited.
        self.check_parts()?;
        let (call, version_held) = self.call(now, &backend, last_event);
        self.tried.push(backend.id.clone());
        match self.send(now, &backend, &call, version_held).await {
            Ok(exchange) => {
                self.servers_reached += 1;
                self.may_have_run = true;
                self.record_head_latency(&backend, now);
                let cold_servers = &self.shared.cold_servers;
                cold_servers.record_answer(lift_clock::now(), backend.address);
                self.record_start(&exchange, now);
                Ok(exchange)
            }
            Err(failure) => {
                self.record_failed_attempt(&backend, failure, now);
                self.record_break(&backend, failure).await;
                Err(attempt_error::AttemptError::Failed(failure))
            }
        }
    }

    /// Checks that the deadline has not passed and that the configuration is confirmed.
    fn check_still_valid(&self, now: time::Instant) -> Result<(), attempt_error::AttemptError> {
        let reason = if now >= self.deadline {
            self.deadline_reason()
        } else if self.shared.is_confirmed(now) {
            return Ok(());
        } else if self.may_have_run {
            lift_dispatch::RejectionReason::NoAnswer
        } else {
            lift_dispatch::RejectionReason::Unconfirmed
        };
        Err(attempt_error::AttemptError::Rejected(reason))
    }

    /// What a request that is sent to `backend` at `now` tells it, and the version of the weights
    /// that it holds, if that is known.
    fn call(
        &self,
        now: time::Instant,
        backend: &lift_dispatch::Backend,
        last_event: Option<u64>,
    ) -> (
        backend_call::BackendCall,
        Option<lift_fleet::WeightsVersion>,
    ) {
        let (weights, version_held) = self.shared.loads.read(backend.address, |load| {
            let sample = load.fresh_sample(now);
            let models = sample.map_or(&backend.models, |sample| &sample.models);
            (
                self.weights_requirement.version_to_request(models),
                self.weights_requirement.version_held(models),
            )
        });
        let work_deadline = self.work_deadline(now, version_held);
        let call = backend_call::BackendCall {
            time_left: work_deadline.saturating_duration_since(now),
            backend: backend.id.clone(),
            workspace: self.workspace.clone(),
            priority: self.rank.map(|place| place.engine_priority()),
            weights,
            last_event,
        };
        (call, version_held)
    }

    /// Sends the request to `backend` and waits for an answer that can be forwarded.
    async fn send(
        &self,
        now: time::Instant,
        backend: &sync::Arc<lift_dispatch::Backend>,
        call: &backend_call::BackendCall,
        version_held: Option<lift_fleet::WeightsVersion>,
    ) -> Result<exchange::Exchange, lift_dispatch::AttemptFailure> {
        let req = self.build_request(call);
        self.count_way(backend);
        let in_flight =
            in_flight_request::InFlightRequest::start(&self.shared, sync::Arc::clone(backend));
        let deadline = self.attempt_deadline(now, version_held);
        let is_repeatable = self.route.kind.is_repeatable();
        let id = &self.head.id;
        let place = cold_place::ColdPlace::new(&self.shared, backend.address, now);
        let started =
            exchange::Exchange::start(&place, in_flight, id, req, is_repeatable, deadline).await;
        let checked = started.and_then(|exchange| match self.check_head(&exchange) {
            None => Ok(exchange),
            Some(failure) => Err(failure),
        });
        checked.inspect_err(|failure| place.give_back_after(*failure))
    }

    /// Counts how far the request is sent, so that operators see what share leaves the failure
    /// domain.
    fn count_way(&self, backend: &lift_dispatch::Backend) {
        let own = &self.shared.location;
        // A server whose region is unknown counts as one of the own region, as in its cost.
        let is_own_region = backend.region.as_deref().is_none_or(|r| r == own.region);
        let way = match (backend.failure_domain == own.failure_domain, is_own_region) {
            (true, _) => "own_domain",
            (false, true) => "other_domain",
            (false, false) => "other_region",
        };
        self.shared.counters.increment_member("sent", way);
    }

    /// Checks that no part of the prompt is quarantined.
    fn check_parts(&self) -> Result<(), attempt_error::AttemptError> {
        let Some(blocked) = self.shared.parts.blocked(&self.suspects()) else {
            return Ok(());
        };
        self.shared.log.write_limited(|log| {
            slog::info!(log, "request quarantined"; "request" => &self.head.id,
                "part" => blocked.parts.join(","), "left_ms" => blocked.time_left.as_millis() as u64);
        });
        let reason = match self.may_have_run {
            true => lift_dispatch::RejectionReason::NoAnswer,
            false => lift_dispatch::RejectionReason::Quarantined,
        };
        Err(attempt_error::AttemptError::Rejected(reason))
    }

    /// Checks the head of an answer. Returns why the answer can't be forwarded, if so.
    fn check_head(&self, exchange: &exchange::Exchange) -> Option<lift_dispatch::AttemptFailure> {
        let status = exchange.parts.status;
        if status == http::StatusCode::MISDIRECTED_REQUEST {
            let answering = exchange.head.backend.as_ref();
            let is_other = answering.is_some_and(|id| *id != exchange.in_flight.backend().id);
            return Some(match is_other {
                true => lift_dispatch::AttemptFailure::WrongServer,
                false => lift_dispatch::AttemptFailure::WrongWeights,
            });
        }
        if exchange.head.is_not_run {
            return Some(lift_dispatch::AttemptFailure::NotRun);
        }
        let is_intact = !status.is_success() || exchange.head.is_sealed;
        (!is_intact).then_some(lift_dispatch::AttemptFailure::Damaged)
    }

    /// Selects a backend server. If all are full or lack the weights, waits a short time until one
    /// can accept the request.
    async fn select_backend(
        &mut self,
    ) -> Result<sync::Arc<lift_dispatch::Backend>, lift_dispatch::RejectionReason> {
        self.admit();
        let max_wait = self.route.target_latency / SLOT_WAIT_DIVISOR;
        let until = self.wait_limit(max_wait);
        let mut has_waited = false;
        let shared = sync::Arc::clone(&self.shared);
        loop {
            // Registers before the selection, so that a change during the selection is not missed.
            let mut capacity_changed = std::pin::pin!(shared.capacity_changed.notified());
            capacity_changed.as_mut().enable();
            let error = match self.try_select() {
                Ok(backend) => {
                    self.record_selection(None);
                    return Ok(backend);
                }
                Err(error) => error,
            };
            let may_change = match error {
                lift_dispatch::SelectionError::Full => self.may_wait(),
                lift_dispatch::SelectionError::NoWeights => true,
                _ => false,
            };
            let left = until.saturating_duration_since(lift_clock::now());
            if may_change && error == lift_dispatch::SelectionError::Full && !has_waited {
                has_waited = true;
                self.record_wait();
            }
            if !may_change || tokio::time::timeout(left, capacity_changed).await.is_err() {
                self.record_selection(Some(error));
                self.log_loads(error);
                return Err(self.selection_failure(error));
            }
        }
    }

    fn try_select(
        &mut self,
    ) -> Result<sync::Arc<lift_dispatch::Backend>, lift_dispatch::SelectionError> {
        let shared = &self.shared;
        let now = lift_clock::now();
        if let Some(model) = &self.weights_requirement.model {
            let duration =
                shared.with_service_latency(&self.service, |latency| latency.mean_duration());
            (
                self.weights_requirement.min_version,
                self.weights_requirement.min_version_if_slow,
            ) = shared.fleet.min_versions(now, model, duration);
        }
        let terms = self.admission_terms();
        let prefill_time = shared.fleet.prefill_time(&self.service);
        let allowed_regions = self.allowed_regions();
        let gateways = shared.fleet.gateways();
        let distances = shared.fleet.distances(&self.service);
        let balance = shared.fleet.balance(&self.service);
        let selector = lift_dispatch::BackendSelector {
            now,
            region: &shared.location.region,
            distances: distances.as_deref(),
            balance: balance.as_deref(),
            gateways: &gateways,
            weights: &self.weights_requirement,
            queue_share: terms.queue_share(
                shared.with_service_latency(&self.service, |latency| {
                    latency.queue_share(terms.target)
                }),
            ),
            prefill_time,
            target_latency: terms.target,
            allowed_regions: &allowed_regions,
            tried: &self.tried,
        };
        let backends = shared.fleet.backends();
        let is_held_back = cell::Cell::new(false);
        let with_load = |backend: &lift_dispatch::Backend, score: lift_dispatch::ScoreFn<'_>| {
            let score = shared.loads.read(backend.address, score);
            shared.score_cold(now, backend.address, score, &is_held_back)
        };
        let draw = rand::rng().random_range(0..usize::from(u16::MAX));
        let select = || selector.select(backends.backends(&self.service), &with_load, draw);
        shared.select_with_place(now, &is_held_back, select)
    }

    /// Regions in which the request may run: those of the configuration in force when it came, as
    /// far as the present one still allows them.
    fn allowed_regions(&self) -> lift_fleet::AllowedRegions {
        let present = self.shared.fleet.table();
        let changed = present.filter(|table| table.version() != self.document_version);
        let Some(table) = changed else {
            return self.allowed_regions.clone();
        };
        // A route that is gone restricts nothing more, but the workspace may.
        let route = table.find(&self.route.host, self.uri.path());
        let route = route.unwrap_or(&self.route);
        let allowed = table.allowed_regions(route, self.workspace.as_deref());
        self.allowed_regions.intersect(&allowed)
    }

    fn build_request(
        &self,
        call: &backend_call::BackendCall,
    ) -> http::Request<http_body_util::Full<bytes::Bytes>> {
        let mut headers = self.headers.clone();
        self.shared.dialect.write_call(&mut headers, call);
        let mut req = http::Request::new(http_body_util::Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = headers;
        req
    }
}
