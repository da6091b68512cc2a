//! The course of one request.

use std::{sync, time};

use rand::RngExt as _;

use crate::{
    backend_call, body_error, caller_head, end_to_end, event_stream, exchange, place, reply,
    shared, whole_answer,
};

/// Part of the wanted latency for which a request may wait for a place before it is refused.
/// A refused caller comes back sooner than one that waits in vain.
const HOLD_PART: u32 = 8;

/// Wanted latencies after which an idempotent request without an answer is sent once more.
const PATIENCE: u32 = 2;

/// Wanted latencies after which a stream without a head is begun elsewhere. Reading a long
/// prompt behind others takes two of them.
const STREAM_PATIENCE: u32 = 4;

type Response = http::Response<reply::Body>;

/// A request with all that further attempts need.
#[derive(Debug)]
pub(crate) struct RequestRun {
    pub(crate) shared: sync::Arc<shared::Shared>,
    pub(crate) head: caller_head::CallerHead,
    pub(crate) route: sync::Arc<lift_fleet::Route>,
    pub(crate) service: lift_types::ServiceId,
    pub(crate) workspace: Option<lift_types::WorkspaceId>,
    pub(crate) method: http::Method,
    pub(crate) uri: http::Uri,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: bytes::Bytes,
    pub(crate) started: time::Instant,
    pub(crate) deadline: time::Instant,
    pub(crate) need: lift_dispatch::WeightsNeed,
    pub(crate) document: lift_fleet::DocumentVersion,
    pub(crate) tried: Vec<lift_fleet::BackendId>,
    pub(crate) arrived: u32,
    pub(crate) unsent: u32,
    pub(crate) has_run: bool,
}

impl RequestRun {
    /// Runs the request to its answer, or to the head of a stream.
    pub(crate) async fn run(mut self) -> Response {
        self.shared
            .with_budget(&self.service, lift_route::RetryBudget::deposit);
        loop {
            let last_event = self.head.last_event;
            let end = match self.attempt(last_event).await {
                Ok(exchange) => match self.answer(exchange).await {
                    Ok(response) => return response,
                    Err((run, end)) => {
                        self = *run;
                        end
                    }
                },
                Err(Ended::Declined(reason)) => return self.decline(reason),
                Err(Ended::Attempt(end)) => end,
            };
            if self.after(end) == lift_dispatch::Verdict::GiveUp {
                let reason = self.give_up_reason(end);
                return self.decline(reason);
            }
        }
    }

    /// Chooses a backend server and sends the request there.
    pub(crate) async fn attempt(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<exchange::Exchange, Ended> {
        let backend = self.choose().await.map_err(Ended::Declined)?;
        let now = lift_clock::now();
        if now >= self.deadline {
            return Err(Ended::Declined(self.late_reason()));
        }
        if !self.shared.is_confirmed(now) {
            let reason = match self.has_run {
                true => lift_dispatch::DeclineReason::NoAnswer,
                false => lift_dispatch::DeclineReason::Unconfirmed,
            };
            return Err(Ended::Declined(reason));
        }
        let weights = match self.need.at_least {
            0 => self.need.exactly,
            version => Some(version),
        };
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
        let may_repeat = self.route.kind.may_repeat();
        let id = &self.head.id;
        let begun =
            exchange::Exchange::begin(&self.shared, place, id, req, may_repeat, until).await;
        let end = match begun {
            Ok(exchange) => match self.judge(&exchange) {
                None => {
                    self.note_head(&backend, now);
                    return Ok(exchange);
                }
                Some(end) => end,
            },
            Err(end) => end,
        };
        self.note(&backend, end, now);
        Err(Ended::Attempt(end))
    }

    /// What the head of an answer means, where it is no answer to pass on.
    fn judge(&self, exchange: &exchange::Exchange) -> Option<lift_dispatch::AttemptEnd> {
        let status = exchange.parts.status;
        if status == http::StatusCode::MISDIRECTED_REQUEST {
            let answering = exchange.head.backend.as_ref();
            let is_other = answering.is_some_and(|id| *id != exchange.place.backend().id);
            return Some(match is_other {
                true => lift_dispatch::AttemptEnd::WrongServer,
                false => lift_dispatch::AttemptEnd::WrongWeights,
            });
        }
        if exchange.head.is_not_run {
            return Some(lift_dispatch::AttemptEnd::NotRun);
        }
        let is_sound = !status.is_success() || exchange.head.is_sealed;
        (!is_sound).then_some(lift_dispatch::AttemptEnd::Damaged)
    }

    /// Passes on an answer. Where that is not possible, returns the request for another
    /// attempt.
    async fn answer(
        mut self,
        mut exchange: exchange::Exchange,
    ) -> Result<Response, (Box<Self>, lift_dispatch::AttemptEnd)> {
        self.arrived += 1;
        self.has_run = true;
        let status = exchange.parts.status;
        if self.route.kind.is_stream() && status.is_success() {
            return Ok(event_stream::EventStream::reply(self, exchange));
        }
        let limit = self.deadline.saturating_duration_since(lift_clock::now());
        let collecting = whole_answer::collect(&mut exchange);
        let collected = tokio::time::timeout(limit, collecting).await;
        let collected = collected.unwrap_or(Err(lift_dispatch::AttemptEnd::Silent));
        let body = match collected {
            Ok(body) => body,
            Err(end) => {
                self.note_failure(exchange.place.backend(), end);
                return Err((Box::new(self), end));
            }
        };
        let backend = sync::Arc::new(exchange.place.backend().clone());
        if status.is_server_error() {
            let end = lift_dispatch::AttemptEnd::Failed;
            self.note_failure(&backend, end);
            if self.after(end) == lift_dispatch::Verdict::Again {
                return Err((Box::new(self), end));
            }
        } else {
            self.succeed(&backend);
        }
        let response = self.pass_on(&exchange, body);
        exchange.finish(&self.shared);
        Ok(response)
    }

    fn pass_on(&self, exchange: &exchange::Exchange, body: bytes::Bytes) -> Response {
        let status = exchange.parts.status;
        // A status that promises "not run" without the backend server's word for it would be
        // taken as that promise.
        let is_false_promise = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if is_false_promise {
            return self.decline(lift_dispatch::DeclineReason::NoAnswer);
        }
        self.log_end("answered", status.as_u16(), &exchange.place.backend().id);
        reply::whole(&self.shared, exchange, body)
    }

    /// Chooses a backend server, and waits a little for a place.
    async fn choose(
        &mut self,
    ) -> Result<sync::Arc<lift_dispatch::Backend>, lift_dispatch::DeclineReason> {
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
                lift_dispatch::ChoiceReason::Full | lift_dispatch::ChoiceReason::NoWeights
            );
            let left = until.saturating_duration_since(lift_clock::now());
            if !may_change || tokio::time::timeout(left, room).await.is_err() {
                return Err(lift_dispatch::DeclineReason::of_choice(
                    reason,
                    self.has_run,
                ));
            }
        }
    }

    fn pick(&mut self) -> Result<sync::Arc<lift_dispatch::Backend>, lift_dispatch::ChoiceReason> {
        let shared = &self.shared;
        let now = lift_clock::now();
        if let Some(model) = &self.need.model {
            self.need.at_least = shared.fleet.at_least(now, model);
            self.need.at_least_if_slow = shared.fleet.at_least_if_slow(now, model);
        }
        let target = self.route.target_latency;
        let choice = lift_dispatch::Choice {
            now,
            region: &shared.place.region,
            gateways: shared.fleet.gateways(),
            need: &self.need,
            queue_share: shared.with_pace(&self.service, |pace| pace.queue_share(target)),
            target,
            tried: &self.tried,
        };
        let roster = shared.fleet.roster();
        let load_of = |backend: &lift_dispatch::Backend| shared.loads.load(backend.address);
        let draw = rand::rng().random_range(0..usize::from(u16::MAX));
        choice.pick(roster.backends(&self.service), &load_of, draw)
    }

    fn request(
        &self,
        call: &backend_call::BackendCall,
    ) -> http::Request<http_body_util::Full<bytes::Bytes>> {
        let mut headers = end_to_end::end_to_end(&self.headers);
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
        if is_last || !self.route.kind.may_repeat() {
            return self.deadline;
        }
        let factor = match self.route.kind.is_stream() {
            true => STREAM_PATIENCE,
            false => PATIENCE,
        };
        self.deadline.min(now + self.route.target_latency * factor)
    }

    /// Counts an attempt that ended without an answer.
    fn note(
        &mut self,
        backend: &lift_dispatch::Backend,
        end: lift_dispatch::AttemptEnd,
        sent_at: time::Instant,
    ) {
        match end.has_arrived() {
            true => self.arrived += 1,
            false => self.unsent += 1,
        }
        self.has_run |= !end.is_not_run();
        self.note_failure(backend, end);
        if end == lift_dispatch::AttemptEnd::Silent {
            self.note_head(backend, sent_at);
        }
        let now = lift_clock::now();
        let took = now.saturating_duration_since(sent_at);
        let load = self.shared.loads.load(backend.address);
        let sample_age = load.fresh(now).map(|s| now.saturating_duration_since(s.at));
        self.shared.log.decision(|log| {
            slog::info!(log, "attempt failed"; "request" => &self.head.id,
                "backend" => &backend.id, "address" => backend.address, "end" => %end,
                "took_ms" => took.as_millis() as u64, "arrived" => self.arrived,
                "own" => load.own(), "sample_age_ms" => sample_age.map(|a| a.as_millis() as u64));
        });
    }

    fn note_head(&self, backend: &lift_dispatch::Backend, sent_at: time::Instant) {
        let now = lift_clock::now();
        let took = now.saturating_duration_since(sent_at);
        self.shared
            .loads
            .change(backend.address, |load| load.health.head_after(now, took));
    }

    pub(crate) fn note_failure(
        &self,
        backend: &lift_dispatch::Backend,
        end: lift_dispatch::AttemptEnd,
    ) {
        let shared = &self.shared;
        shared
            .counters
            .increment_member("attempt", <&str>::from(end));
        let now = lift_clock::now();
        shared.loads.change(backend.address, |load| match end {
            lift_dispatch::AttemptEnd::NotSent
            | lift_dispatch::AttemptEnd::Silent
            | lift_dispatch::AttemptEnd::WrongServer => load.health.miss(now),
            _ => load.health.fail(),
        });
    }

    /// Counts an answer that was passed on whole.
    pub(crate) fn succeed(&self, backend: &lift_dispatch::Backend) {
        let took = lift_clock::now().saturating_duration_since(self.started);
        let shared = &self.shared;
        shared
            .loads
            .change(backend.address, |load| load.health.succeed());
        shared.with_pace(&self.service, |pace| pace.add(took));
        shared
            .latencies
            .record("gateway.request", <&str>::from(self.route.kind), took);
    }

    /// Decides what follows from the end of an attempt.
    pub(crate) fn after(&self, end: lift_dispatch::AttemptEnd) -> lift_dispatch::Verdict {
        let now = lift_clock::now();
        let rules = lift_dispatch::AttemptRules {
            kind: self.route.kind,
            max_attempts: self.route.max_attempts,
            arrived: self.arrived,
            unsent: self.unsent,
            has_run: self.has_run,
            time_left: self.deadline.saturating_duration_since(now),
        };
        let verdict = self
            .shared
            .with_budget(&self.service, |budget| rules.after(end, budget));
        if verdict == lift_dispatch::Verdict::Again {
            self.shared
                .counters
                .increment_member("repeat", <&str>::from(end));
        }
        verdict
    }

    fn give_up_reason(&self, end: lift_dispatch::AttemptEnd) -> lift_dispatch::DeclineReason {
        match lift_clock::now() >= self.deadline {
            true => self.late_reason(),
            false => lift_dispatch::DeclineReason::of_attempt(end, self.has_run),
        }
    }

    fn late_reason(&self) -> lift_dispatch::DeclineReason {
        match self.has_run {
            true => lift_dispatch::DeclineReason::Late,
            false => lift_dispatch::DeclineReason::LateUnsent,
        }
    }

    fn decline(&self, reason: lift_dispatch::DeclineReason) -> Response {
        let last = self.tried.last().cloned().unwrap_or_default();
        self.log_end(<&str>::from(reason), reason.http_status(), &last);
        reply::declined(&self.shared, reason, Some(self.head.id.clone()))
    }

    /// Writes the line that ends the request.
    pub(crate) fn log_end(&self, outcome: &str, status: u16, backend: &str) {
        let now = lift_clock::now();
        let took = now.saturating_duration_since(self.started);
        let confirmed = self.shared.fleet.confirmation_age(now);
        self.shared.log.decision(|log| {
            slog::info!(log, "request ended"; "request" => &self.head.id,
                "route" => &self.route.name, "service" => &self.service,
                "workspace" => self.workspace.as_deref(), "outcome" => outcome,
                "status" => status, "backend" => backend, "arrived" => self.arrived,
                "unsent" => self.unsent, "took_ms" => took.as_millis() as u64,
                "document" => self.document, "at_least" => self.need.at_least,
                "confirmed_age_ms" => confirmed.map(|a| a.as_millis() as u64));
        });
    }

    /// Ends a stream that can't go on.
    pub(crate) fn break_off(&self, error: body_error::BodyError, backend: &str) {
        self.shared.counters.increment("gateway.streams_broken");
        self.log_end(&error.to_string(), 200, backend);
    }
}

/// Why there is no answer of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    /// No attempt could be made.
    Declined(lift_dispatch::DeclineReason),
    /// The attempt failed.
    Attempt(lift_dispatch::AttemptEnd),
}
