//! Execution of one request.

use std::{sync, time};

use crate::{
    answer_body, attempt_error, caller_head, event_stream, exchange, failed_attempt, response,
    shared, whole_stream,
};

type Response = http::Response<response::Body>;

/// A request in progress, with everything that its attempts need.
#[derive(Debug)]
pub(crate) struct RequestRun {
    pub(crate) shared: sync::Arc<shared::Shared>,
    pub(crate) head: caller_head::CallerHead,
    pub(crate) route: sync::Arc<lift_fleet::Route>,
    pub(crate) service: lift_types::ServiceId,
    pub(crate) workspace: Option<lift_types::WorkspaceId>,
    /// Regions in which the request may run, by the configuration in force when it came.
    pub(crate) allowed_regions: lift_fleet::AllowedRegions,
    /// Place among the ranks of the service. `None` if all of its requests have the same.
    pub(crate) rank: Option<lift_dispatch::RankPlace>,
    /// Places that the latest attempt may use.
    pub(crate) admission: lift_dispatch::Admission,
    /// Whether the caller can tell an answer that broke off from a complete one. HTTP/1.0 marks
    /// the end of a body of unknown length by closing the connection.
    pub(crate) can_see_breaks: bool,
    pub(crate) method: http::Method,
    pub(crate) uri: http::Uri,
    /// The caller's end-to-end headers.
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: bytes::Bytes,
    /// Identity of the content, once it was needed.
    pub(crate) digest: sync::OnceLock<lift_fleet::RequestDigest>,
    pub(crate) started: time::Instant,
    pub(crate) deadline: time::Instant,
    pub(crate) weights_requirement: lift_dispatch::WeightsRequirement,
    pub(crate) document_version: lift_fleet::DocumentVersion,
    /// Backend servers that were selected for an attempt.
    pub(crate) tried: Vec<lift_fleet::BackendId>,
    /// Number of backend servers that the request has reached.
    pub(crate) servers_reached: u32,
    /// Number of attempts that reached no backend server.
    pub(crate) unsent_attempts: u32,
    /// Whether an attempt may have run the request.
    pub(crate) may_have_run: bool,
}

impl RequestRun {
    /// Attempts the request until there is an answer or no further retry is allowed, and returns
    /// the response to the caller. The body of a stream is forwarded after that.
    pub(crate) async fn run(mut self) -> Response {
        self.shared
            .with_retry_budget(&self.service, lift_route::RetryBudget::deposit);
        loop {
            let last_event = self.head.last_event;
            let (failure, error_answer) = match self.attempt(last_event).await {
                Ok(exchange) => match self.forward(exchange).await {
                    Ok(response) => return response,
                    Err(failed) => {
                        self = failed.run;
                        (failed.failure, failed.error_answer)
                    }
                },
                Err(attempt_error::AttemptError::Rejected(reason)) => return self.reject(reason),
                Err(attempt_error::AttemptError::Failed(failure)) => (failure, None),
            };
            if self.decide_retry(failure) == lift_dispatch::RetryDecision::Retry {
                continue;
            }
            return match error_answer {
                Some((exchange, body)) => self.forward_complete(exchange, body),
                None => self.reject(self.failure_reason(failure)),
            };
        }
    }

    /// Forwards an answer.
    ///
    /// # Errors
    ///
    /// Returns the request if the answer is incomplete, too long or a server error.
    async fn forward(
        self,
        mut exchange: exchange::Exchange,
    ) -> Result<Response, Box<failed_attempt::FailedAttempt>> {
        let status = exchange.parts.status;
        if self.route.kind.is_stream() && status.is_success() {
            return Ok(self.forward_stream(exchange).await);
        }
        let limit = self.deadline.saturating_duration_since(lift_clock::now());
        let held = self.shared.budget.hold(lift_listen::HeldKind::Answer);
        let collecting = answer_body::collect(&mut exchange, held);
        let collected = tokio::time::timeout(limit, collecting).await;
        let collected = collected.unwrap_or(Err(lift_dispatch::AttemptFailure::Silent));
        let (failure, error_body) = match collected {
            Ok(body) if !status.is_server_error() => {
                self.record_success(exchange.in_flight.backend());
                if exchange.is_end_marked() {
                    self.shared.parts.record_answer(&self.suspects());
                }
                return Ok(self.forward_complete(exchange, body));
            }
            Ok(body) => (lift_dispatch::AttemptFailure::Failed, Some(body)),
            Err(failure) => (failure, None),
        };
        let backend = exchange.in_flight.backend();
        self.record_failure(backend, failure);
        self.record_break(backend, failure).await;
        Err(Box::new(failed_attempt::FailedAttempt {
            run: self,
            failure,
            error_answer: error_body.map(|body| (exchange, body)),
        }))
    }

    /// Forwards a stream while it arrives, or at once when it is complete if the caller couldn't
    /// see that it broke off.
    async fn forward_stream(self, exchange: exchange::Exchange) -> Response {
        let (shared, id) = (sync::Arc::clone(&self.shared), self.head.id.clone());
        let can_see_breaks = self.can_see_breaks;
        let response = event_stream::EventStream::respond(self, exchange);
        match can_see_breaks {
            true => response,
            false => whole_stream::collect(&shared, response, id).await,
        }
    }

    /// Forwards an answer that was read to its end, and returns its connection to the pool.
    fn forward_complete(&self, exchange: exchange::Exchange, body: bytes::Bytes) -> Response {
        let status = exchange.parts.status;
        // Callers take these statuses as a guarantee that the request has not run, but this backend
        // server has not reported that.
        let implies_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        let response = match implies_not_run {
            true => self.reject(lift_dispatch::RejectionReason::NoAnswer),
            false => {
                self.log_outcome(
                    "answered",
                    status.as_u16(),
                    &exchange.in_flight.backend().id,
                );
                response::complete(&self.shared, &exchange, body)
            }
        };
        exchange.finish(&self.shared);
        response
    }

    /// Whether the request may run once more, at a backend server that it has not reached yet.
    pub(crate) fn can_reach_another_server(&self) -> bool {
        self.route.kind.is_repeatable() && self.servers_reached < self.route.max_attempts
    }

    /// Decides whether to retry after an attempt that failed with `failure`, and counts the
    /// retry.
    pub(crate) fn decide_retry(
        &self,
        failure: lift_dispatch::AttemptFailure,
    ) -> lift_dispatch::RetryDecision {
        if self.may_have_run && !self.shared.parts.may_repeat(&self.suspects()) {
            return lift_dispatch::RetryDecision::GiveUp;
        }
        let now = lift_clock::now();
        let context = lift_dispatch::RetryContext {
            kind: self.route.kind,
            max_attempts: self.route.max_attempts,
            servers_reached: self.servers_reached,
            unsent_attempts: self.unsent_attempts,
            may_have_run: self.may_have_run,
            time_left: self.deadline.saturating_duration_since(now),
        };
        let (decision, is_over_budget) = self.shared.with_retry_budget(&self.service, |budget| {
            let denied = budget.denied();
            let decision = context.decide(failure, budget);
            (decision, budget.denied() > denied)
        });
        if is_over_budget {
            self.shared.counters.increment("gateway.repeats_denied");
        }
        if decision == lift_dispatch::RetryDecision::Retry {
            self.shared
                .counters
                .increment_member("repeat", <&str>::from(failure));
        }
        decision
    }

    fn failure_reason(
        &self,
        failure: lift_dispatch::AttemptFailure,
    ) -> lift_dispatch::RejectionReason {
        match lift_clock::now() >= self.deadline {
            true => self.deadline_reason(),
            false => {
                lift_dispatch::RejectionReason::from_attempt_failure(failure, self.may_have_run)
            }
        }
    }

    /// Reason for rejecting a request for which no backend server could be selected.
    pub(crate) fn selection_failure(
        &self,
        error: lift_dispatch::SelectionError,
    ) -> lift_dispatch::RejectionReason {
        let reason = lift_dispatch::RejectionReason::from_selection_error(error, self.may_have_run);
        let is_evacuated = || self.shared.fleet.backends().is_evacuated(&self.service);
        match reason {
            lift_dispatch::RejectionReason::NoBackend if is_evacuated() => {
                lift_dispatch::RejectionReason::Evacuated
            }
            reason => reason,
        }
    }

    pub(crate) fn deadline_reason(&self) -> lift_dispatch::RejectionReason {
        match self.may_have_run {
            true => lift_dispatch::RejectionReason::Late,
            false => lift_dispatch::RejectionReason::LateUnsent,
        }
    }

    fn reject(&self, reason: lift_dispatch::RejectionReason) -> Response {
        let last = self.tried.last().cloned().unwrap_or_default();
        self.log_outcome(<&str>::from(reason), reason.http_status(), &last);
        let blocked = (reason == lift_dispatch::RejectionReason::Quarantined)
            .then(|| self.shared.parts.blocked(&self.suspects()))
            .flatten();
        let id = Some(self.head.id.clone());
        let retry_after = match blocked {
            Some(blocked) => Some(blocked.time_left),
            None => self.retry_after(reason),
        };
        match retry_after {
            Some(after) => response::rejected_for(&self.shared, reason, id, after),
            None => response::rejected(&self.shared, reason, id),
        }
    }
}
