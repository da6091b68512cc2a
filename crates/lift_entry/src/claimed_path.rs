//! Path of a non-idempotent request.

use std::{sync, time};

use axum::response;

use crate::{
    answer_part, answer_stream, begun, caller_reply, caller_request, claim_client, exchange,
    permit, shared,
};

use lift_route::{ClaimedAction as Action, ClaimedEvent as Event};

/// Pause before a host is tried again, in which its heartbeat can tell its new state.
const RECHOOSE_PAUSE: time::Duration = time::Duration::from_millis(50);

/// A non-idempotent request at this entry. It performs the actions of a
/// [`lift_route::ClaimedRequest`].
#[derive(Debug)]
pub(crate) struct ClaimedPath {
    shared: sync::Arc<shared::Shared>,
    req: sync::Arc<caller_request::CallerRequest>,
    choice: lift_route::HostCriteria,
    claims: claim_client::ClaimClient,
    answer: Option<begun::Begun>,
}

impl ClaimedPath {
    pub(crate) fn new(
        shared: sync::Arc<shared::Shared>,
        req: sync::Arc<caller_request::CallerRequest>,
    ) -> Self {
        let choice = req.choice(&shared);
        let claims =
            claim_client::ClaimClient::new(sync::Arc::clone(&shared), sync::Arc::clone(&req));
        Self {
            shared,
            req,
            choice,
            claims,
            answer: None,
        }
    }

    /// Runs the request to an answer, "not run" or "in doubt".
    pub(crate) async fn run(self, permit: permit::Permit) -> response::Response {
        let machine = lift_route::ClaimedRequest::new();
        self.drive(machine, Action::SelectHost, Some(permit)).await
    }

    /// Refuses the request before anything was sent. Another sending under its key may have
    /// run, so control is asked about the key first.
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
                Action::SelectHost => self.choose().await,
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
                Action::ReadClaim => self.claims.look().await,
                Action::ReturnAnswer => return self.give_answer(permit),
                Action::ReturnOutcome => return self.give_outcome(),
                Action::NotRun { reason } => {
                    return caller_reply::not_run(&self.shared, self.req.id, reason);
                }
                Action::InDoubt { reason } => {
                    return caller_reply::in_doubt(&self.shared, self.req.id, reason);
                }
                // The events above follow from the actions, so none is late here.
                Action::Ignore => Event::DeadlineExceeded,
            };
            action = machine.step(event);
        }
    }

    /// Chooses a host that was not tried, or any where all were: a host that was reached over
    /// a broken connection, or was switching, may take the next attempt.
    async fn choose(&mut self) -> Event {
        let mut found = self.shared.choose(&self.req.service, &self.choice);
        if found.is_none() && !self.choice.tried.is_empty() {
            self.choice.tried.clear();
            tokio::time::sleep(RECHOOSE_PAUSE).await;
            found = self.shared.choose(&self.req.service, &self.choice);
        }
        let Some(host) = found else {
            return Event::NoHost;
        };
        self.choice.tried.push(host.location.host);
        Event::HostSelected {
            host: host.location.host,
            incarnation: host.incarnation,
        }
    }

    async fn send(&mut self, holder: lift_state::ClaimHolder) -> Event {
        match self.begin(holder).await {
            Ok(begun) => {
                self.answer = Some(begun);
                Event::Answered(holder)
            }
            Err(end) => {
                self.shared.directory.observe_end(holder.host, end);
                Event::Failed(holder, end)
            }
        }
    }

    /// Sends the attempt and waits for its whole answer, or for more of it than control
    /// would keep.
    async fn begin(
        &self,
        holder: lift_state::ClaimHolder,
    ) -> Result<begun::Begun, lift_route::AttemptFailure> {
        let routes = self.shared.directory.routes();
        let hosts = routes.services.get(&self.req.service);
        let host = hosts
            .and_then(|hosts| hosts.find(holder.host))
            .filter(|host| host.incarnation == holder.incarnation)
            .ok_or(lift_route::AttemptFailure::NotSent)?;
        let claim = self.claims.claim_of(holder);
        let call = self
            .req
            .call(&self.shared, Some(claim), self.req.version.clone(), 0);
        let mut exchange = exchange::Exchange::start(&self.shared, host, call).await?;
        let head = exchange.head(self.req.deadline).await?;
        let mut early = Vec::new();
        let mut length = 0;
        let is_whole = loop {
            match exchange.part(self.req.deadline).await? {
                answer_part::AnswerPart::End => break true,
                answer_part::AnswerPart::Data(bytes) => {
                    length += bytes.len();
                    early.push(bytes);
                }
            }
            if length > lift_state::MAX_OUTCOME_BODY_BYTES {
                break false;
            }
        };
        Ok(begun::Begun {
            exchange,
            head,
            early,
            host: holder.host,
            is_whole,
        })
    }

    fn give_answer(mut self, permit: Option<permit::Permit>) -> response::Response {
        let (Some(begun), Some(permit)) = (self.answer.take(), permit) else {
            let reason = lift_types::RefusalReason::BackendUnreachable;
            return caller_reply::in_doubt(&self.shared, self.req.id, reason);
        };
        if begun.is_whole {
            let body = axum::body::Body::from(begun.early.concat());
            return caller_reply::answer(&self.shared, self.req.id, &begun.head, body);
        }
        let head = begun.head.clone();
        let shared = sync::Arc::clone(&self.shared);
        let req = sync::Arc::clone(&self.req);
        let stream = answer_stream::AnswerStream::new(shared, req, begun, permit);
        caller_reply::answer(&self.shared, self.req.id, &head, stream.into_body())
    }

    fn give_outcome(mut self) -> response::Response {
        let Some(outcome) = self.claims.take_outcome() else {
            let reason = lift_types::RefusalReason::ClaimUnavailable;
            return caller_reply::in_doubt(&self.shared, self.req.id, reason);
        };
        self.shared.counters.increment("entry.outcomes_repeated");
        caller_reply::recorded(&self.shared, self.req.id, outcome)
    }
}
