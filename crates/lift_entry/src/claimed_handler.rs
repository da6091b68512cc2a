//! Handler of a non-idempotent request.

use std::{sync, time};

use axum::response;

use crate::{
    answer_part, answer_stream, caller_reply, caller_request, claim_client, exchange, permit,
    shared, started_answer,
};

use lift_route::{ClaimedAction as Action, ClaimedEvent as Event};

/// Pause before hosts are tried again, so that their heartbeats can report a new state.
const RESELECT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Handles one non-idempotent request by performing the actions of a
/// [`lift_route::ClaimedRequest`].
#[derive(Debug)]
pub(crate) struct ClaimedHandler {
    shared: sync::Arc<shared::Shared>,
    req: sync::Arc<caller_request::CallerRequest>,
    criteria: lift_route::HostCriteria,
    claims: claim_client::ClaimClient,
    answer: Option<started_answer::StartedAnswer>,
}

impl ClaimedHandler {
    pub(crate) fn new(
        shared: sync::Arc<shared::Shared>,
        req: sync::Arc<caller_request::CallerRequest>,
    ) -> Self {
        let criteria = req.host_criteria(&shared);
        let claims =
            claim_client::ClaimClient::new(sync::Arc::clone(&shared), sync::Arc::clone(&req));
        Self {
            shared,
            req,
            criteria,
            claims,
            answer: None,
        }
    }

    /// Runs the request and returns its answer, its recorded outcome, "not run" or "in doubt".
    pub(crate) async fn run(self, permit: permit::Permit) -> response::Response {
        let machine = lift_route::ClaimedRequest::new();
        self.drive(machine, Action::SelectHost, Some(permit)).await
    }

    /// Refuses the request before anything is sent. Control is first asked whether the key is
    /// unclaimed, because another submission under the key may have run.
    pub(crate) async fn refuse(self, reason: lift_types::RefusalReason) -> response::Response {
        let machine = lift_route::ClaimedRequest::new_refused(reason);
        self.drive(machine, Action::ReadClaim, None).await
    }

    async fn drive(
        mut self,
        mut machine: lift_route::ClaimedRequest,
        mut action: Action,
        permit: Option<permit::Permit>,
    ) -> response::Response {
        loop {
            let event = match action {
                Action::SelectHost => self.select_host().await,
                Action::Claim { host, incarnation } => self.claims.claim(host, incarnation).await,
                Action::Send(holder) => self.send(holder).await,
                Action::Query {
                    holder,
                    previous_queries,
                } => self.claims.query(holder, previous_queries).await,
                Action::Reassign {
                    refused,
                    host,
                    incarnation,
                } => self.claims.reassign(refused, host, incarnation).await,
                Action::ReadClaim => self.claims.read_claim().await,
                Action::ReturnAnswer => return self.return_answer(permit),
                Action::ReturnOutcome => return self.return_outcome(),
                Action::NotRun { reason } => {
                    return caller_reply::not_run(&self.shared, self.req.id, reason);
                }
                Action::InDoubt { reason } => {
                    return caller_reply::in_doubt(&self.shared, self.req.id, reason);
                }
                // Not expected, because each event above results from the latest action.
                Action::Ignore => Event::DeadlineExceeded,
            };
            action = machine.step(event);
        }
    }

    /// Selects a host that was not tried, or any host if all were tried: a host whose connection
    /// broke, or that was switching versions, may accept the next attempt.
    async fn select_host(&mut self) -> Event {
        let mut found = self.shared.select_host(&self.req.service, &self.criteria);
        if found.is_none() && !self.criteria.tried.is_empty() {
            self.criteria.tried.clear();
            tokio::time::sleep(RESELECT_PAUSE).await;
            found = self.shared.select_host(&self.req.service, &self.criteria);
        }
        let Some(host) = found else {
            return Event::NoHost;
        };
        self.criteria.tried.push(host.location.host);
        Event::HostSelected {
            host: host.location.host,
            incarnation: host.incarnation,
        }
    }

    async fn send(&mut self, holder: lift_state::ClaimHolder) -> Event {
        match self.start_attempt(holder).await {
            Ok(answer) => {
                self.answer = Some(answer);
                Event::Answered(holder)
            }
            Err(failure) => {
                self.shared.directory.record_failure(holder.host, failure);
                self.shared
                    .guard
                    .record_failure(&self.req, holder.host, failure);
                Event::Failed(holder, failure)
            }
        }
    }

    /// Sends the attempt and waits until its answer is complete, or longer than control would
    /// record.
    async fn start_attempt(
        &self,
        holder: lift_state::ClaimHolder,
    ) -> Result<started_answer::StartedAnswer, lift_route::AttemptFailure> {
        let table = self.shared.directory.routing_table();
        let hosts = table.services.get(&self.req.service);
        let host = hosts
            .and_then(|hosts| hosts.find(holder.host))
            .filter(|host| host.incarnation == holder.incarnation)
            .ok_or(lift_route::AttemptFailure::NotSent)?;
        let claim = self.claims.call_claim(holder);
        let call = self
            .req
            .to_call(&self.shared, Some(claim), self.req.version.clone(), 0);
        let mut exchange = exchange::Exchange::start(&self.shared, host, call).await?;
        let head = exchange.recv_head(self.req.deadline).await?;
        let mut parts = Vec::new();
        let mut received_bytes = 0;
        let is_complete = loop {
            match exchange.recv_part(self.req.deadline).await? {
                answer_part::AnswerPart::End => break true,
                answer_part::AnswerPart::Data(bytes) => {
                    received_bytes += bytes.len();
                    parts.push(bytes);
                }
            }
            if received_bytes > lift_state::MAX_OUTCOME_BODY_BYTES {
                break false;
            }
        };
        Ok(started_answer::StartedAnswer {
            exchange,
            head,
            parts,
            host: holder.host,
            is_complete,
        })
    }

    fn return_answer(mut self, permit: Option<permit::Permit>) -> response::Response {
        let (Some(answer), Some(permit)) = (self.answer.take(), permit) else {
            let reason = lift_types::RefusalReason::BackendUnreachable;
            return caller_reply::in_doubt(&self.shared, self.req.id, reason);
        };
        if answer.is_complete {
            let status = answer.head.status;
            self.shared.guard.record_answer(&self.req, status);
            let body = axum::body::Body::from(answer.parts.concat());
            return caller_reply::answer(&self.shared, self.req.id, &answer.head, body);
        }
        let head = answer.head.clone();
        let shared = sync::Arc::clone(&self.shared);
        let req = sync::Arc::clone(&self.req);
        let stream = answer_stream::AnswerStream::new(shared, req, answer, permit);
        caller_reply::answer(&self.shared, self.req.id, &head, stream.into_body())
    }

    fn return_outcome(mut self) -> response::Response {
        let Some(outcome) = self.claims.take_outcome() else {
            let reason = lift_types::RefusalReason::ClaimUnavailable;
            return caller_reply::in_doubt(&self.shared, self.req.id, reason);
        };
        self.shared.counters.increment("entry.outcomes_repeated");
        caller_reply::recorded(&self.shared, self.req.id, outcome)
    }
}
