//! Handler of an idempotent request.

use std::sync;

use axum::response;

use crate::{
    answer_stream, caller_reply, caller_request, exchange, permit, resume_check, shared,
    started_answer,
};

/// Handles one idempotent request: sends, retries and hedges it.
#[derive(Debug)]
pub(crate) struct IdempotentHandler {
    shared: sync::Arc<shared::Shared>,
    req: sync::Arc<caller_request::CallerRequest>,
    criteria: lift_route::HostCriteria,
    /// Whether every attempt so far is proved not to have run. False once a hedge was sent.
    is_proved_not_run: bool,
}

impl IdempotentHandler {
    pub(crate) fn new(
        shared: sync::Arc<shared::Shared>,
        req: sync::Arc<caller_request::CallerRequest>,
    ) -> Self {
        let criteria = req.host_criteria(&shared);
        Self {
            shared,
            req,
            criteria,
            is_proved_not_run: true,
        }
    }

    /// Sends the request until an answer starts, the retry policy gives up or there is no host.
    pub(crate) async fn run(mut self, permit: permit::Permit) -> response::Response {
        self.with_budget(lift_route::RetryBudget::deposit);
        let mut attempts = 0;
        loop {
            let Some(host) = self.select_host() else {
                return self.give_up(lift_types::RefusalReason::NoHost);
            };
            attempts += 1;
            let failure = match self.attempt_or_hedge(host, attempts).await {
                Ok(answer) => return self.return_answer(answer, permit),
                Err(failure) => failure,
            };
            self.is_proved_not_run &= failure.proves_not_run();
            if !self.shared.guard.may_repeat(&self.req) {
                return self.give_up(failure.refusal_reason());
            }
            let time_left = self.req.time_left();
            let decision = self.with_budget(|budget| {
                let rng = &mut rand::rng();
                lift_route::RetryPolicy.decide(failure, attempts, time_left, budget, rng)
            });
            match decision {
                lift_route::RetryDecision::GiveUp { reason } => return self.give_up(reason),
                lift_route::RetryDecision::Retry { reason, backoff } => {
                    self.shared
                        .counters
                        .increment_member("retry", reason.into());
                    tokio::time::sleep(backoff).await;
                }
            }
        }
    }

    /// Selects a host that was not tried, or any host if all were tried.
    fn select_host(&mut self) -> Option<lift_route::Candidate> {
        let found = self.shared.select_host(&self.req.service, &self.criteria);
        let host = match found {
            Some(host) => host,
            None => {
                self.criteria.tried.clear();
                self.shared.select_host(&self.req.service, &self.criteria)?
            }
        };
        self.criteria.tried.push(host.location.host);
        Some(host)
    }

    /// Attempts the request at `host`. If no answer starts within the hedge delay and the retry
    /// policy allows a hedge, sends a second copy to another host and returns the answer that
    /// starts first. Fails only after both have failed.
    async fn attempt_or_hedge(
        &mut self,
        host: lift_route::Candidate,
        attempts: u32,
    ) -> Result<started_answer::StartedAnswer, lift_route::AttemptFailure> {
        let first = attempt(&self.shared, &self.req, host);
        tokio::pin!(first);
        tokio::select! {
            result = &mut first => return result,
            () = tokio::time::sleep(self.shared.limits.hedge_after) => {}
        }
        let idempotency = self.req.idempotency;
        let may_hedge = self.shared.guard.may_repeat(&self.req)
            && self.with_budget(|budget| {
                lift_route::RetryPolicy.try_hedge(idempotency, attempts, budget)
            });
        let other = may_hedge
            .then(|| self.shared.select_host(&self.req.service, &self.criteria))
            .flatten();
        let Some(other) = other else {
            return first.await;
        };
        let reason = lift_types::RetryReason::Hedged;
        self.shared
            .counters
            .increment_member("retry", reason.into());
        self.is_proved_not_run = false;
        self.criteria.tried.push(other.location.host);
        let second = attempt(&self.shared, &self.req, other);
        tokio::pin!(second);
        tokio::select! {
            result = &mut first => if result.is_ok() { result } else { second.await },
            result = &mut second => if result.is_ok() { result } else { first.await },
        }
    }

    fn return_answer(
        self,
        mut answer: started_answer::StartedAnswer,
        permit: permit::Permit,
    ) -> response::Response {
        if let Some(prefix) = self.req.prefix {
            self.shared.set_prefix_host(prefix, answer.host);
        }
        let head = answer.head.clone();
        if answer.is_complete {
            let status = answer.head.status;
            self.shared.guard.record_answer(&self.req, status);
            let body = concat_body(&mut answer.parts);
            return caller_reply::answer(&self.shared, self.req.id, &head, body);
        }
        let shared = sync::Arc::clone(&self.shared);
        let req = sync::Arc::clone(&self.req);
        let stream = answer_stream::AnswerStream::new(shared, req, answer, permit)
            .with_resume(resume_check::ResumeCheck::new(&head));
        caller_reply::answer(&self.shared, self.req.id, &head, stream.into_body())
    }

    fn give_up(&self, reason: lift_types::RefusalReason) -> response::Response {
        if self.is_proved_not_run {
            return caller_reply::not_run(&self.shared, self.req.id, reason);
        }
        caller_reply::in_doubt(&self.shared, self.req.id, reason)
    }

    fn with_budget<R>(&self, f: impl FnOnce(&mut lift_route::RetryBudget) -> R) -> R {
        self.shared
            .with_workspace(&self.req.workspace, &self.req.limits, |state| {
                f(&mut state.budget)
            })
    }
}

async fn attempt(
    shared: &shared::Shared,
    req: &caller_request::CallerRequest,
    host: lift_route::Candidate,
) -> Result<started_answer::StartedAnswer, lift_route::AttemptFailure> {
    let call = req.to_call(shared, None, req.version.clone(), 0);
    let result = start_attempt(shared, req, &host, call).await;
    if let Err(failure) = &result {
        shared
            .directory
            .record_failure(host.location.host, *failure);
        shared
            .guard
            .record_failure(req, host.location.host, *failure);
    }
    result
}

/// Sends the call and waits for the head of its answer. Also checks the parts that have arrived
/// by then, because the request can still be retried on another host if they are damaged.
async fn start_attempt(
    shared: &shared::Shared,
    req: &caller_request::CallerRequest,
    host: &lift_route::Candidate,
    call: lift_wire::Call,
) -> Result<started_answer::StartedAnswer, lift_route::AttemptFailure> {
    let mut exchange = exchange::Exchange::start(shared, host, call).await?;
    let head = exchange.recv_head(req.deadline).await?;
    let (parts, is_complete) = exchange.recv_available()?;
    Ok(started_answer::StartedAnswer {
        exchange,
        head,
        parts,
        is_complete,
        host: host.location.host,
    })
}

/// Joins the parts of a complete body. A single part is not copied.
fn concat_body(parts: &mut Vec<bytes::Bytes>) -> axum::body::Body {
    if parts.len() == 1 {
        return axum::body::Body::from(parts.pop().unwrap_or_default());
    }
    axum::body::Body::from(parts.concat())
}
