//! Forwarding of an event stream to the caller.

use std::sync;

use futures_util::stream;
use http_body_util::BodyExt as _;

use crate::{
    attempt_error, body_error, event_buffer, exchange, request_run, response, stall_timer,
    stream_part,
};

/// Forwards complete events. If a backend server fails in the middle, resumes the stream at
/// another one where the route allows it.
#[derive(Debug)]
pub(crate) struct EventStream {
    run: request_run::RequestRun,
    part: Option<stream_part::StreamPart>,
    /// Media type that the caller was told.
    media_type: Option<String>,
    buf: event_buffer::EventBuffer,
    is_first_event_pending: bool,
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
        let head = exchange.parts.clone();
        let part = stream_part::StreamPart::first(exchange);
        let buf = event_buffer::EventBuffer::new(run.head.last_event);
        let stall_timer = stall_timer::StallTimer::start(lift_clock::now(), run.route.target_gap);
        let events = Self {
            run,
            media_type: part.media_type(),
            part: Some(part),
            buf,
            is_first_event_pending: true,
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
        response::stream(&shared, &head, body.boxed_unsync())
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
        let Some(part) = &mut self.part else {
            return Err(lift_dispatch::AttemptFailure::Broken);
        };
        let read = tokio::time::timeout(limit, part.exchange.next_frame()).await;
        let frame = read.map_err(|_| lift_dispatch::AttemptFailure::Silent)?;
        let Some(frame) = frame else {
            return match !self.buf.has_partial_event() && part.may_end() {
                true => Ok(None),
                false => Err(lift_dispatch::AttemptFailure::Broken),
            };
        };
        let frame = frame.map_err(|_| lift_dispatch::AttemptFailure::Broken)?;
        let Some(data) = frame.data_ref() else {
            return Ok(Some(bytes::Bytes::new()));
        };
        let events_before = self.buf.complete_events();
        let events = self.buf.push(data);
        let events = events.map_err(|_| lift_dispatch::AttemptFailure::Damaged)?;
        let new_events = self.buf.complete_events() - events_before;
        if new_events > 0 {
            part.record_events(new_events);
            self.stall_timer.restart(lift_clock::now());
        }
        match part.continues_nothing_yet() {
            true => Ok(Some(bytes::Bytes::new())),
            false => Ok(Some(events)),
        }
    }

    /// Resumes the stream at another backend server after the last complete event. A stream that
    /// has stalled goes on at its own backend server if no other one takes over, since it may only
    /// be slow.
    async fn resume(
        &mut self,
        failure: lift_dispatch::AttemptFailure,
    ) -> Result<(), body_error::BodyError> {
        let failed = self.part.take();
        if let Some(part) = &failed {
            let backend = part.exchange.in_flight.backend();
            self.run.record_failure(backend, failure);
            if !part.is_under_way() {
                self.run.record_break(backend, failure).await;
            }
        }
        let stalled = failed.filter(|_| failure == lift_dispatch::AttemptFailure::Silent);
        let found = self.find_successor(failure).await;
        let now = lift_clock::now();
        self.stall_timer.restart(now);
        match (found, stalled) {
            (Ok(part), _) => {
                self.buf.discard_partial_event();
                self.part = Some(part);
                Ok(())
            }
            (Err(_), Some(stalled)) if now < self.run.deadline => {
                self.part = Some(stalled);
                Ok(())
            }
            (Err(error), _) => Err(self.fail(error)),
        }
    }

    /// Attempts the request at other backend servers until one continues the stream.
    async fn find_successor(
        &mut self,
        mut failure: lift_dispatch::AttemptFailure,
    ) -> Result<stream_part::StreamPart, body_error::BodyError> {
        loop {
            if lift_clock::now() >= self.run.deadline {
                return Err(body_error::BodyError::Late);
            }
            if self.run.decide_retry(failure) == lift_dispatch::RetryDecision::GiveUp {
                return Err(body_error::BodyError::Broken);
            }
            let attempted = self.run.attempt(self.buf.last_event()).await;
            failure = match attempted.map(stream_part::StreamPart::continuation) {
                Ok(part) if self.is_continued_by(&part) => {
                    self.run
                        .shared
                        .counters
                        .increment("gateway.streams_resumed");
                    return Ok(part);
                }
                Ok(part) => {
                    let failure = lift_dispatch::AttemptFailure::Failed;
                    self.run
                        .record_failure(part.exchange.in_flight.backend(), failure);
                    failure
                }
                Err(attempt_error::AttemptError::Failed(failure)) => failure,
                Err(attempt_error::AttemptError::Rejected(_)) => {
                    return Err(body_error::BodyError::Broken);
                }
            };
        }
    }

    /// Whether the events of `part` continue this stream: it is a success on the same weights and
    /// of the same media type.
    fn is_continued_by(&self, part: &stream_part::StreamPart) -> bool {
        let weights = self.run.weights_requirement.exact_version;
        let exchange = &part.exchange;
        exchange.parts.status.is_success()
            && exchange.head.weights == weights
            && part.media_type() == self.media_type
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
        let Some(part) = self.part.take() else {
            return;
        };
        // A crash may look like the end of an answer whose end isn't marked.
        if part.exchange.is_end_marked() || part.is_under_way() {
            self.run.shared.parts.record_answer(&self.run.suspects());
        }
        let exchange = part.exchange;
        let backend = exchange.in_flight.backend();
        self.run.record_success(backend);
        let status = exchange.parts.status.as_u16();
        self.run.log_outcome("answered", status, &backend.id);
        exchange.finish(&self.run.shared);
    }
}
