//! The course of one request.

use std::{sync, time};

use crate::{caller_head, ended, event_stream, exchange, reply, shared, unanswered, whole_answer};

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
    /// The caller's end-to-end headers.
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: bytes::Bytes,
    pub(crate) started: time::Instant,
    pub(crate) deadline: time::Instant,
    pub(crate) need: lift_dispatch::WeightsRequirement,
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
            let (end, failure) = match self.attempt(last_event).await {
                Ok(exchange) => match self.answer(exchange).await {
                    Ok(response) => return response,
                    Err(unanswered) => {
                        self = unanswered.run;
                        (unanswered.end, unanswered.failure)
                    }
                },
                Err(ended::Ended::Declined(reason)) => return self.decline(reason),
                Err(ended::Ended::Attempt(end)) => (end, None),
            };
            if self.after(end) == lift_dispatch::RetryDecision::Retry {
                continue;
            }
            return match failure {
                Some((exchange, body)) => self.pass_on(exchange, body),
                None => self.decline(self.give_up_reason(end)),
            };
        }
    }

    /// Passes on an answer. Where that is not possible, returns the request for another
    /// attempt.
    async fn answer(
        self,
        mut exchange: exchange::Exchange,
    ) -> Result<Response, Box<unanswered::Unanswered>> {
        let status = exchange.parts.status;
        if self.route.kind.is_stream() && status.is_success() {
            return Ok(event_stream::EventStream::reply(self, exchange));
        }
        let limit = self.deadline.saturating_duration_since(lift_clock::now());
        let collecting = whole_answer::collect(&mut exchange);
        let collected = tokio::time::timeout(limit, collecting).await;
        let collected = collected.unwrap_or(Err(lift_dispatch::AttemptFailure::Silent));
        let (end, failure) = match collected {
            Ok(body) if !status.is_server_error() => {
                self.succeed(exchange.place.backend());
                return Ok(self.pass_on(exchange, body));
            }
            Ok(body) => (lift_dispatch::AttemptFailure::Failed, Some(body)),
            Err(end) => (end, None),
        };
        self.note_failure(exchange.place.backend(), end);
        Err(Box::new(unanswered::Unanswered {
            run: self,
            end,
            failure: failure.map(|body| (exchange, body)),
        }))
    }

    /// Passes on an answer that was read whole, and gives its connection back.
    fn pass_on(&self, exchange: exchange::Exchange, body: bytes::Bytes) -> Response {
        let status = exchange.parts.status;
        // A status that promises "not run" without the backend server's word for it would be
        // taken as that promise.
        let is_false_promise = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        let response = match is_false_promise {
            true => self.decline(lift_dispatch::RejectionReason::NoAnswer),
            false => {
                self.log_end("answered", status.as_u16(), &exchange.place.backend().id);
                reply::whole(&self.shared, &exchange, body)
            }
        };
        exchange.finish(&self.shared);
        response
    }

    /// Decides what follows from the end of an attempt.
    pub(crate) fn after(&self, end: lift_dispatch::AttemptFailure) -> lift_dispatch::RetryDecision {
        let now = lift_clock::now();
        let context = lift_dispatch::RetryContext {
            kind: self.route.kind,
            max_attempts: self.route.max_attempts,
            servers_reached: self.arrived,
            unsent_attempts: self.unsent,
            may_have_run: self.has_run,
            time_left: self.deadline.saturating_duration_since(now),
        };
        let decision = self
            .shared
            .with_budget(&self.service, |budget| context.decide(end, budget));
        if decision == lift_dispatch::RetryDecision::Retry {
            self.shared
                .counters
                .increment_member("repeat", <&str>::from(end));
        }
        decision
    }

    fn give_up_reason(&self, end: lift_dispatch::AttemptFailure) -> lift_dispatch::RejectionReason {
        match lift_clock::now() >= self.deadline {
            true => self.late_reason(),
            false => lift_dispatch::RejectionReason::from_attempt_failure(end, self.has_run),
        }
    }

    pub(crate) fn late_reason(&self) -> lift_dispatch::RejectionReason {
        match self.has_run {
            true => lift_dispatch::RejectionReason::Late,
            false => lift_dispatch::RejectionReason::LateUnsent,
        }
    }

    fn decline(&self, reason: lift_dispatch::RejectionReason) -> Response {
        let last = self.tried.last().cloned().unwrap_or_default();
        self.log_end(<&str>::from(reason), reason.http_status(), &last);
        reply::declined(&self.shared, reason, Some(self.head.id.clone()))
    }
}
