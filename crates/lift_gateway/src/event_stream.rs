//! Forwarding of an event stream to the caller.

use std::{sync, time};

use futures_util::stream;
use http_body_util::BodyExt as _;

use crate::{attempt_error, body_error, event_buffer, exchange, request_run, response};

/// Stall timeout of a stream that can resume elsewhere, in multiples of the target gap between
/// events. Callers disconnect after eight.
const STALL_GAPS: u32 = 5;

/// Shortest stall timeout. Engines pause while they read long prompts.
const MIN_STALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);

/// Forwards complete events. If a backend server fails in the middle, resumes the stream at
/// another one where the route allows it.
#[derive(Debug)]
pub(crate) struct EventStream {
    run: request_run::RequestRun,
    exchange: Option<exchange::Exchange>,
    buf: event_buffer::EventBuffer,
    is_first_event_pending: bool,
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
        let events = Self {
            run,
            exchange: Some(exchange),
            buf,
            is_first_event_pending: true,
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
        let limit = match self.run.route.kind.is_repeatable() {
            true => left.min(self.stall_timeout()),
            false => left,
        };
        let Some(exchange) = &mut self.exchange else {
            return Err(lift_dispatch::AttemptFailure::Broken);
        };
        let read = tokio::time::timeout(limit, exchange.body.frame()).await;
        let frame = read.map_err(|_| lift_dispatch::AttemptFailure::Silent)?;
        let Some(frame) = frame else {
            return match self.buf.has_partial_event() {
                true => Err(lift_dispatch::AttemptFailure::Broken),
                false => Ok(None),
            };
        };
        let frame = frame.map_err(|_| lift_dispatch::AttemptFailure::Broken)?;
        let Some(data) = frame.data_ref() else {
            return Ok(Some(bytes::Bytes::new()));
        };
        let events = self.buf.push(data);
        let events = events.map_err(|_| lift_dispatch::AttemptFailure::Damaged)?;
        Ok(Some(events))
    }

    fn stall_timeout(&self) -> time::Duration {
        (self.run.route.target_gap * STALL_GAPS).max(MIN_STALL_TIMEOUT)
    }

    /// Resumes the stream at another backend server after the last complete event.
    async fn resume(
        &mut self,
        mut failure: lift_dispatch::AttemptFailure,
    ) -> Result<(), body_error::BodyError> {
        if let Some(exchange) = self.exchange.take() {
            self.run
                .record_failure(exchange.in_flight.backend(), failure);
        }
        loop {
            if lift_clock::now() >= self.run.deadline {
                return Err(self.fail(body_error::BodyError::Late));
            }
            if self.run.decide_retry(failure) == lift_dispatch::RetryDecision::GiveUp {
                return Err(self.fail(body_error::BodyError::Broken));
            }
            self.buf.discard_partial_event();
            match self.run.attempt(self.buf.last_event()).await {
                Ok(exchange) if exchange.parts.status.is_success() => {
                    self.run
                        .shared
                        .counters
                        .increment("gateway.streams_resumed");
                    self.exchange = Some(exchange);
                    return Ok(());
                }
                Ok(_) => failure = lift_dispatch::AttemptFailure::Failed,
                Err(attempt_error::AttemptError::Failed(next)) => failure = next,
                Err(attempt_error::AttemptError::Rejected(_)) => {
                    return Err(self.fail(body_error::BodyError::Broken));
                }
            }
        }
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
            self.run
                .shared
                .latencies
                .record("gateway.first_event", kind, took);
        }
    }

    fn finish(&mut self) {
        let Some(exchange) = self.exchange.take() else {
            return;
        };
        let backend = exchange.in_flight.backend();
        self.run.record_success(backend);
        let status = exchange.parts.status.as_u16();
        self.run.log_outcome("answered", status, &backend.id);
        exchange.finish(&self.run.shared);
    }
}
