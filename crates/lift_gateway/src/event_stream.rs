//! A stream of events on its way to the caller.

use std::{sync, time};

use futures_util::stream;
use http_body_util::BodyExt as _;

use crate::{body_error, ended, event_buffer, exchange, reply, request_run};

/// Wanted pauses between events after which a silent backend server is given up, where the
/// stream can go on elsewhere. Callers leave after eight.
const STALL_PAUSES: u32 = 5;

/// Shortest time after which a silent backend server is given up. Engines pause while they
/// read long prompts.
const MIN_STALL: time::Duration = time::Duration::from_millis(1_200);

/// Passes on whole events, and goes on at another backend server where one breaks off.
#[derive(Debug)]
pub(crate) struct EventStream {
    run: request_run::RequestRun,
    exchange: Option<exchange::Exchange>,
    buf: event_buffer::EventBuffer,
    is_first: bool,
}

impl EventStream {
    /// Reply with the head of `exchange`, whose events follow.
    pub(crate) fn reply(
        mut run: request_run::RequestRun,
        exchange: exchange::Exchange,
    ) -> http::Response<reply::Body> {
        // A second run must use the same weights: an answer is never made of two versions.
        run.need.exact_version = exchange.head.weights;
        let shared = sync::Arc::clone(&run.shared);
        let parts = exchange.parts.clone();
        let buf = event_buffer::EventBuffer::new(run.head.last_event);
        let events = Self {
            run,
            exchange: Some(exchange),
            buf,
            is_first: true,
        };
        let frames = stream::unfold(Some(events), |events| async {
            let mut events = events?;
            match events.next().await {
                Ok(Some(bytes)) => Some((Ok(hyper::body::Frame::data(bytes)), Some(events))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        });
        let body = http_body_util::StreamBody::new(frames);
        reply::stream(&shared, &parts, body.boxed_unsync())
    }

    /// The next events, or `None` at the end of the answer.
    async fn next(&mut self) -> Result<Option<bytes::Bytes>, body_error::BodyError> {
        loop {
            let end = match self.read().await {
                Ok(Some(events)) if events.is_empty() => continue,
                Ok(Some(events)) => {
                    self.count_first();
                    return Ok(Some(events));
                }
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Err(end) => end,
            };
            self.resume(end).await?;
        }
    }

    /// Reads from the backend server until events are whole.
    async fn read(&mut self) -> Result<Option<bytes::Bytes>, lift_dispatch::AttemptFailure> {
        let now = lift_clock::now();
        let left = self.run.deadline.saturating_duration_since(now);
        let limit = match self.run.route.kind.is_repeatable() {
            true => left.min(self.stall()),
            false => left,
        };
        let Some(exchange) = &mut self.exchange else {
            return Err(lift_dispatch::AttemptFailure::Broken);
        };
        let read = tokio::time::timeout(limit, exchange.body.frame()).await;
        let frame = read.map_err(|_| lift_dispatch::AttemptFailure::Silent)?;
        let Some(frame) = frame else {
            return match self.buf.is_amid_event() {
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

    fn stall(&self) -> time::Duration {
        (self.run.route.target_gap * STALL_PAUSES).max(MIN_STALL)
    }

    /// Begins a run at another backend server after the last whole event.
    async fn resume(
        &mut self,
        mut end: lift_dispatch::AttemptFailure,
    ) -> Result<(), body_error::BodyError> {
        if let Some(exchange) = self.exchange.take() {
            self.run.note_failure(exchange.place.backend(), end);
        }
        loop {
            if lift_clock::now() >= self.run.deadline {
                return Err(self.fail(body_error::BodyError::Late));
            }
            if self.run.after(end) == lift_dispatch::RetryDecision::GiveUp {
                return Err(self.fail(body_error::BodyError::Broken));
            }
            self.buf.drop_part();
            match self.run.attempt(self.buf.last()).await {
                Ok(exchange) if exchange.parts.status.is_success() => {
                    self.run
                        .shared
                        .counters
                        .increment("gateway.streams_resumed");
                    self.exchange = Some(exchange);
                    return Ok(());
                }
                Ok(_) => end = lift_dispatch::AttemptFailure::Failed,
                Err(ended::Ended::Attempt(next)) => end = next,
                Err(ended::Ended::Declined(_)) => {
                    return Err(self.fail(body_error::BodyError::Broken));
                }
            }
        }
    }

    fn fail(&self, error: body_error::BodyError) -> body_error::BodyError {
        let backend = self.run.tried.last().cloned().unwrap_or_default();
        self.run.break_off(error, &backend);
        error
    }

    fn count_first(&mut self) {
        if std::mem::take(&mut self.is_first) {
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
        let backend = exchange.place.backend();
        self.run.succeed(backend);
        let status = exchange.parts.status.as_u16();
        self.run.log_end("answered", status, &backend.id);
        exchange.finish(&self.run.shared);
    }
}
