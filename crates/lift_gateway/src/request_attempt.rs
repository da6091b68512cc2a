//! Attempts of one request.

use std::{sync, time};

use rand::RngExt as _;

use crate::{backend_call, ended, exchange, place, request_run};

/// Part of the wanted latency for which a request may wait for a place before it is refused.
/// A refused caller comes back sooner than one that waits in vain.
const HOLD_PART: u32 = 8;

/// Wanted latencies after which an idempotent request without an answer is sent once more.
const PATIENCE: u32 = 2;

/// Wanted latencies after which a stream without a head is begun elsewhere. Reading a long
/// prompt behind others takes two of them.
const STREAM_PATIENCE: u32 = 3;

impl request_run::RequestRun {
    /// Chooses a backend server and sends the request there.
    pub(crate) async fn attempt(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<exchange::Exchange, ended::Ended> {
        let backend = self.choose().await.map_err(ended::Ended::Declined)?;
        let now = lift_clock::now();
        if now >= self.deadline {
            return Err(ended::Ended::Declined(self.late_reason()));
        }
        if !self.shared.is_confirmed(now) {
            let reason = match self.has_run {
                true => lift_dispatch::RejectionReason::NoAnswer,
                false => lift_dispatch::RejectionReason::Unconfirmed,
            };
            return Err(ended::Ended::Declined(reason));
        }
        let weights = self.shared.loads.read(backend.address, |load| {
            let sample = load.fresh_sample(now);
            let models = sample.map_or(&backend.models, |sample| &sample.models);
            self.need.version_to_request(models)
        });
        let call = backend_call::BackendCall {
            time_left: self.deadline.saturating_duration_since(now),
            backend: backend.id.clone(),
            workspace: self.workspace.clone(),
            weights,
            last_event,
        };
        let req = self.request(&call);
        self.tried.push(backend.id.clone());
        let place = place::Place::take(&self.shared, sync::Arc::clone(&backend));
        let until = self.attempt_until(now);
        let may_repeat = self.route.kind.is_repeatable();
        let id = &self.head.id;
        let begun =
            exchange::Exchange::begin(&self.shared, place, id, req, may_repeat, until).await;
        let end = match begun {
            Ok(exchange) => match self.judge(&exchange) {
                None => {
                    self.arrived += 1;
                    self.has_run = true;
                    self.note_head(&backend, now);
                    return Ok(exchange);
                }
                Some(end) => end,
            },
            Err(end) => end,
        };
        self.note(&backend, end, now);
        Err(ended::Ended::Attempt(end))
    }

    /// What the head of an answer means, where it is no answer to pass on.
    fn judge(&self, exchange: &exchange::Exchange) -> Option<lift_dispatch::AttemptFailure> {
        let status = exchange.parts.status;
        if status == http::StatusCode::MISDIRECTED_REQUEST {
            let answering = exchange.head.backend.as_ref();
            let is_other = answering.is_some_and(|id| *id != exchange.place.backend().id);
            return Some(match is_other {
                true => lift_dispatch::AttemptFailure::WrongServer,
                false => lift_dispatch::AttemptFailure::WrongWeights,
            });
        }
        if exchange.head.is_not_run {
            return Some(lift_dispatch::AttemptFailure::NotRun);
        }
        let is_sound = !status.is_success() || exchange.head.is_sealed;
        (!is_sound).then_some(lift_dispatch::AttemptFailure::Damaged)
    }

    /// Chooses a backend server, and waits a little for a place.
    async fn choose(
        &mut self,
    ) -> Result<sync::Arc<lift_dispatch::Backend>, lift_dispatch::RejectionReason> {
        let hold = self.route.target_latency / HOLD_PART;
        let until = (lift_clock::now() + hold).min(self.deadline);
        let shared = sync::Arc::clone(&self.shared);
        loop {
            // Listens before it looks, so that a place that becomes free meanwhile is noticed.
            let mut room = std::pin::pin!(shared.room.notified());
            room.as_mut().enable();
            let reason = match self.pick() {
                Ok(backend) => return Ok(backend),
                Err(reason) => reason,
            };
            let may_change = matches!(
                reason,
                lift_dispatch::SelectionError::Full | lift_dispatch::SelectionError::NoWeights
            );
            let left = until.saturating_duration_since(lift_clock::now());
            if !may_change || tokio::time::timeout(left, room).await.is_err() {
                return Err(lift_dispatch::RejectionReason::from_selection_error(
                    reason,
                    self.has_run,
                ));
            }
        }
    }

    fn pick(&mut self) -> Result<sync::Arc<lift_dispatch::Backend>, lift_dispatch::SelectionError> {
        let shared = &self.shared;
        let now = lift_clock::now();
        if let Some(model) = &self.need.model {
            (self.need.min_version, self.need.min_version_if_slow) =
                shared.fleet.floors(now, model);
        }
        let target = self.route.target_latency;
        let prefill_time = shared.fleet.prefill_time(&self.service);
        let selector = lift_dispatch::BackendSelector {
            now,
            region: &shared.location.region,
            gateways: shared.fleet.gateways(),
            weights: &self.need,
            queue_share: shared.with_pace(&self.service, |pace| pace.queue_share(target)),
            prefill_time,
            target_latency: target,
            tried: &self.tried,
        };
        let backends = shared.fleet.backends();
        let with_load = |backend: &lift_dispatch::Backend, score: lift_dispatch::ScoreFn<'_>| {
            shared.loads.read(backend.address, score)
        };
        let draw = rand::rng().random_range(0..usize::from(u16::MAX));
        selector.select(backends.backends(&self.service), &with_load, draw)
    }

    fn request(
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

    /// How long an attempt may stay without the head of an answer. The last one may take all
    /// the time there is.
    fn attempt_until(&self, now: time::Instant) -> time::Instant {
        let is_last = self.arrived + 1 >= self.route.max_attempts;
        if is_last || !self.route.kind.is_repeatable() {
            return self.deadline;
        }
        let factor = match self.route.kind.is_stream() {
            true => STREAM_PATIENCE,
            false => PATIENCE,
        };
        self.deadline.min(now + self.route.target_latency * factor)
    }
}
