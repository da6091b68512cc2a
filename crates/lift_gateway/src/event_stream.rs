//! Forwarding of an event stream to the caller.

use std::sync;

use futures_util::stream;
use http_body_util::BodyExt as _;

use crate::{
    attempt_error, body_error, event_buffer, exchange, request_run, response, stall_timer,
};

/// Events at the beginning of an answer. A part of a prompt that crashes backend servers does so
/// while they write these; an answer that is longer shows that its parts do not.
const BEGINNING_EVENTS: u64 = 2;

/// Forwards complete events. If a backend server fails in the middle, resumes the stream at
/// another one where the route allows it.
#[derive(Debug)]
pub(crate) struct EventStream {
    run: request_run::RequestRun,
    exchange: Option<exchange::Exchange>,
    buf: event_buffer::EventBuffer,
    is_first_event_pending: bool,
    /// Events that were complete before the answer of the current backend server.
    events_before: u64,
    stall_timer: stall_timer::StallTimer,
}

impl EventStream {
    /// Returns a response with the head of `exchange`, whose body forwards the events.
    pub(crate) fn respond(
        mut run: request_run::RequestRun,
        exchange: exchange::Exchange,
    ) -> http::Response<response::Body> {
        // A resumed stream must use the same weights, so that no answer mixes two versions.
        run.weights_requirement.exact_version = exchange.head.weights;
        let shared = sync::Arc::clone(&run.shared);
        let parts = exchange.parts.clone();
        let buf = event_buffer::EventBuffer::new(run.head.last_event);
        let stall_timer = stall_timer::StallTimer::start(lift_clock::now(), run.route.target_gap);
        let events = Self {
            run,
            exchange: Some(exchange),
            buf,
            is_first_event_pending: true,
            events_before: 0,
            stall_timer,
        };
        let frames = stream::unfold(Some(events), |events| async {
            let mut events = events?;
            match events.next_events().await {
                Ok(Some(bytes)) => Some((Ok(hyper::body::Frame::data(bytes)), Some(events))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        });
        let body = http_body_util::StreamBody::new(frames);
        response::stream(&shared, &parts, body.boxed_unsync())
    }

    /// Returns the next events, or `None` at the end of the answer. Resumes the stream after a
    /// failure.
    async fn next_events(&mut self) -> Result<Option<bytes::Bytes>, body_error::BodyError> {
        loop {
            let failure = match self.read_events().await {
                Ok(Some(events)) if events.is_empty() => continue,
                Ok(Some(events)) => {
                    self.record_first_event();
                    return Ok(Some(events));
                }
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Err(failure) => failure,
            };
            self.resume(failure).await?;
        }
    }

    /// Reads one frame from the backend server and returns the events that it completes, which
    /// may be none. Returns `None` at the end of the answer.
    async fn read_events(&mut self) -> Result<Option<bytes::Bytes>, lift_dispatch::AttemptFailure> {
        let now = lift_clock::now();
        let left = self.run.deadline.saturating_duration_since(now);
        let limit = match self.run.can_reach_another_server() {
            true => left.min(self.stall_timer.time_left(now)),
            false => left,
        };
        let Some(exchange) = &mut self.exchange else {
            return Err(lift_dispatch::AttemptFailure::Broken);
        };
        let read = tokio::time::timeout(limit, exchange.next_frame()).await;
        let frame = read.map_err(|_| lift_dispatch::AttemptFailure::Silent)?;
        let Some(frame) = frame else {
            return match self.is_broken_off() {
                true => Err(lift_dispatch::AttemptFailure::Broken),
                false => Ok(None),
            };
        };
        let frame = frame.map_err(|_| lift_dispatch::AttemptFailure::Broken)?;
        let Some(data) = frame.data_ref() else {
            return Ok(Some(bytes::Bytes::new()));
        };
        let last_event = self.buf.last_event();
        let events = self.buf.push(data);
        let events = events.map_err(|_| lift_dispatch::AttemptFailure::Damaged)?;
        if self.buf.last_event() != last_event {
            self.stall_timer.restart(lift_clock::now());
        }
        Ok(Some(events))
    }

    /// Resumes the stream at another backend server after the last complete event. A stream that
    /// has stalled goes on at its own backend server if no other one takes over, since it may only
    /// be slow.
    async fn resume(
        &mut self,
        failure: lift_dispatch::AttemptFailure,
    ) -> Result<(), body_error::BodyError> {
        let failed = self.exchange.take();
        if let Some(exchange) = &failed {
            let backend = exchange.in_flight.backend();
            self.run.record_failure(backend, failure);
            if !self.is_under_way() {
                self.run.record_break(backend, failure).await;
            }
        }
        let stalled = failed.filter(|_| failure == lift_dispatch::AttemptFailure::Silent);
        let found = self.find_successor(failure).await;
        let now = lift_clock::now();
        self.stall_timer.restart(now);
        match (found, stalled) {
            (Ok(exchange), _) => {
                self.buf.discard_partial_event();
                self.events_before = self.buf.complete_events();
                self.exchange = Some(exchange);
                Ok(())
            }
            (Err(_), Some(stalled)) if now < self.run.deadline => {
                self.exchange = Some(stalled);
                Ok(())
            }
            (Err(error), _) => Err(self.fail(error)),
        }
    }

    /// Attempts the request at other backend servers until one continues the stream.
    async fn find_successor(
        &mut self,
        mut failure: lift_dispatch::AttemptFailure,
    ) -> Result<exchange::Exchange, body_error::BodyError> {
        loop {
            if lift_clock::now() >= self.run.deadline {
                return Err(body_error::BodyError::Late);
            }
            if self.run.decide_retry(failure) == lift_dispatch::RetryDecision::GiveUp {
                return Err(body_error::BodyError::Broken);
            }
            failure = match self.run.attempt(self.buf.last_event()).await {
                Ok(exchange) if self.is_continued_by(&exchange) => {
                    self.run
                        .shared
                        .counters
                        .increment("gateway.streams_resumed");
                    return Ok(exchange);
                }
                Ok(exchange) => {
                    let failure = lift_dispatch::AttemptFailure::Failed;
                    self.run
                        .record_failure(exchange.in_flight.backend(), failure);
                    failure
                }
                Err(attempt_error::AttemptError::Failed(failure)) => failure,
                Err(attempt_error::AttemptError::Rejected(_)) => {
                    return Err(body_error::BodyError::Broken);
                }
            };
        }
    }

    /// Whether the events of `exchange` continue this stream: it is a success on the same weights.
    fn is_continued_by(&self, exchange: &exchange::Exchange) -> bool {
        let weights = self.run.weights_requirement.exact_version;
        exchange.parts.status.is_success() && exchange.head.weights == weights
    }

    /// Whether an answer that has ended is known to be incomplete: it ended inside an event, or its
    /// end isn't marked and there was no event at all.
    fn is_broken_off(&self) -> bool {
        let is_marked = self.exchange.as_ref().is_some_and(|e| e.is_end_marked());
        let is_empty = self.buf.last_event().is_none();
        self.buf.has_partial_event() || (is_empty && !is_marked)
    }

    /// Whether the current backend server has written more than the beginning of its answer.
    fn is_under_way(&self) -> bool {
        self.buf.complete_events() - self.events_before > BEGINNING_EVENTS
    }

    fn fail(&self, error: body_error::BodyError) -> body_error::BodyError {
        let backend = self.run.tried.last().cloned().unwrap_or_default();
        self.run.record_broken_stream(error, &backend);
        error
    }

    fn record_first_event(&mut self) {
        if std::mem::take(&mut self.is_first_event_pending) {
            let took = lift_clock::now().saturating_duration_since(self.run.started);
            let kind = <&str>::from(self.run.route.kind);
            let shared = &self.run.shared;
            shared.with_service_latency(&self.run.service, |latency| {
                latency.record_first_event(took);
            });
            shared.latencies.record("gateway.first_event", kind, took);
        }
    }

    fn finish(&mut self) {
        let Some(exchange) = self.exchange.take() else {
            return;
        };
        let backend = exchange.in_flight.backend();
        self.run.record_success(backend);
        // A crash may look like the end of an answer whose end isn't marked.
        if exchange.is_end_marked() || self.is_under_way() {
            self.run.shared.parts.record_answer(&self.run.head.parts);
        }
        let status = exchange.parts.status.as_u16();
        self.run.log_outcome("answered", status, &backend.id);
        exchange.finish(&self.run.shared);
    }
}
