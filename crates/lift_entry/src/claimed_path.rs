//! Path of a non-idempotent request.

use std::{sync, time};

use axum::response;

use crate::{
    answer_part, answer_stream, caller_reply, caller_request, exchange, permit, sending, shared,
};

use lift_route::{ClaimedAction as Action, ClaimedEvent as Event};

/// Pause before the second query of a claim. It doubles up to [`MAX_QUERY_PAUSE`].
const QUERY_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Longest pause between two queries.
const MAX_QUERY_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Time beyond the deadline in which control may confirm that a request did not run.
const LOOK_GRACE: time::Duration = time::Duration::from_millis(500);

/// Longest time for one query of an agent.
const QUERY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A non-idempotent request at this entry. It performs the actions of a
/// [`lift_route::ClaimedRequest`].
#[derive(Debug)]
pub(crate) struct ClaimedPath {
    shared: sync::Arc<shared::Shared>,
    req: sync::Arc<caller_request::CallerRequest>,
    choice: lift_route::ChoiceRequest,
    outcome: Option<lift_state::Outcome>,
    answer: Option<Begun>,
}

/// An answer that has begun.
#[derive(Debug)]
struct Begun {
    exchange: exchange::Exchange,
    head: lift_border::AnswerHead,
    early: Vec<bytes::Bytes>,
    host: lift_types::HostId,
    is_whole: bool,
}

impl ClaimedPath {
    pub(crate) fn new(
        shared: sync::Arc<shared::Shared>,
        req: sync::Arc<caller_request::CallerRequest>,
    ) -> Self {
        let choice = req.choice(&shared);
        Self {
            shared,
            req,
            choice,
            outcome: None,
            answer: None,
        }
    }

    /// Runs the request to an answer, "not run" or "in doubt".
    pub(crate) async fn run(mut self, permit: permit::Permit) -> response::Response {
        let mut machine = lift_route::ClaimedRequest::new();
        let mut action = Action::Choose;
        let mut has_claim = false;
        loop {
            has_claim |= matches!(action, Action::Send(_) | Action::Query { .. });
            let event = match action {
                Action::Choose => self.choose(),
                Action::Claim { host, incarnation } => self.claim(host, incarnation).await,
                Action::Send(holder) => self.send(holder).await,
                Action::Query { holder, earlier } => self.query(holder, earlier).await,
                Action::Reassign {
                    refused,
                    host,
                    incarnation,
                } => self.reassign(refused, host, incarnation).await,
                Action::Look => self.look().await,
                Action::GiveAnswer => return self.give_answer(permit),
                Action::GiveOutcome => return self.give_outcome(),
                Action::NotRun { reason } => return self.not_run(reason, has_claim),
                Action::InDoubt { reason } => {
                    return caller_reply::in_doubt(&self.shared, self.req.id, reason);
                }
                // The events above follow from the actions, so none is late here.
                Action::Ignore => Event::Deadline,
            };
            action = machine.step(event);
        }
    }

    fn choose(&mut self) -> Event {
        let Some(host) = self.shared.choose(&self.req.service, &self.choice) else {
            return Event::NoHost;
        };
        self.choice.tried.push(host.place.host);
        Event::Chosen {
            host: host.place.host,
            incarnation: host.incarnation,
        }
    }

    async fn claim(
        &mut self,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
    ) -> Event {
        let req = lift_state::ClaimRequest {
            key: self.req.claim_key(),
            body_hash: self.req.body_hash(),
            host,
            incarnation,
        };
        let control = sync::Arc::clone(&self.shared.control);
        self.ask(self.req.deadline, async move {
            control.claim(req).await.map(Some)
        })
        .await
    }

    async fn reassign(
        &mut self,
        refused: lift_state::ClaimHolder,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
    ) -> Event {
        let reason = lift_types::RetryReason::Refused;
        self.shared
            .counters
            .increment_member("retry", reason.into());
        let req = lift_state::ReassignRequest {
            key: self.req.claim_key(),
            refused,
            host,
            incarnation,
        };
        let control = sync::Arc::clone(&self.shared.control);
        self.ask(self.req.deadline, async move {
            control.reassign(req).await.map(Some)
        })
        .await
    }

    async fn look(&mut self) -> Event {
        let key = self.req.claim_key();
        let control = sync::Arc::clone(&self.shared.control);
        let until = self.req.deadline.max(time::Instant::now() + LOOK_GRACE);
        self.ask(until, async move { control.find_claim(key).await })
            .await
    }

    async fn ask(
        &mut self,
        until: time::Instant,
        question: impl Future<
            Output = Result<
                Option<lift_state::ClaimReply>,
                error_stack::Report<lift_rpc::ControlError>,
            >,
        >,
    ) -> Event {
        let Ok(reply) = tokio::time::timeout_at(until.into(), question).await else {
            return Event::Deadline;
        };
        match reply {
            Ok(Some(lift_state::ClaimReply::New(holder))) => Event::Held(holder),
            Ok(Some(lift_state::ClaimReply::Pending(holder))) => Event::Pending(holder),
            Ok(Some(lift_state::ClaimReply::Recorded(outcome))) => {
                self.outcome = Some(outcome);
                Event::Recorded
            }
            Ok(Some(lift_state::ClaimReply::Mismatch)) => Event::Mismatch,
            Ok(Some(lift_state::ClaimReply::Full)) => Event::Full,
            Ok(None) => Event::Absent,
            Err(e) => {
                let error = e.current_context();
                slog::warn!(self.shared.logger, "claim failed"; "error" => %error);
                Event::ControlFailed
            }
        }
    }

    async fn send(&mut self, holder: lift_state::ClaimHolder) -> Event {
        match self.begin(holder).await {
            Ok(begun) => {
                self.answer = Some(begun);
                Event::Answered(holder)
            }
            Err(end) => Event::Ended(holder, end),
        }
    }

    /// Sends the attempt and waits for its whole answer, or for more of it than control
    /// would keep.
    async fn begin(
        &self,
        holder: lift_state::ClaimHolder,
    ) -> Result<Begun, lift_route::AttemptEnd> {
        let routes = self.shared.directory.routes();
        let hosts = routes.services.get(&self.req.service);
        let host = hosts
            .and_then(|hosts| hosts.find(holder.host))
            .filter(|host| host.incarnation == holder.incarnation)
            .ok_or(lift_route::AttemptEnd::NotSent)?;
        let claim = self.claim_of(holder);
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
        Ok(Begun {
            exchange,
            head,
            early,
            host: holder.host,
            is_whole,
        })
    }

    async fn query(&mut self, holder: lift_state::ClaimHolder, earlier: u32) -> Event {
        if earlier > 0 {
            let pause = QUERY_PAUSE.saturating_mul(1 << (earlier - 1).min(10));
            tokio::time::sleep(pause.min(MAX_QUERY_PAUSE)).await;
        }
        if self.req.time_left().is_zero() {
            return Event::Deadline;
        }
        self.shared.counters.increment("entry.claim_queries");
        let asked = tokio::time::timeout(QUERY_TIMEOUT, self.ask_holder(holder)).await;
        match asked.ok().flatten() {
            None => Event::QueryFailed(holder),
            Some(lift_wire::ClaimState::Running) => Event::Running(holder),
            Some(lift_wire::ClaimState::Never) => Event::Never(holder),
            Some(lift_wire::ClaimState::Unknown) => Event::Unknown(holder),
            Some(lift_wire::ClaimState::Ran {
                status,
                headers,
                body,
            }) => {
                self.outcome = Some(lift_state::Outcome {
                    status,
                    headers,
                    body,
                });
                Event::Ran(holder)
            }
        }
    }

    async fn ask_holder(&self, holder: lift_state::ClaimHolder) -> Option<lift_wire::ClaimState> {
        let report = self.shared.directory.find(holder.host)?;
        if report.incarnation > holder.incarnation {
            return Some(lift_wire::ClaimState::Unknown);
        }
        let link = self
            .shared
            .links
            .get(holder.host, report.incarnation, report.call_addr)
            .await?;
        let id = self.shared.next_id();
        let query = lift_wire::ClaimQuery {
            id,
            workspace: self.req.workspace.clone(),
            service: self.req.service.clone(),
            claim: self.claim_of(holder),
        };
        let message = lift_wire::CallMessage::QueryClaim(Box::new(query));
        let mut rx = link.request(id, message).await.ok()?;
        match rx.recv().await? {
            crate::link_event::LinkEvent::Message(lift_wire::AnswerMessage::Claim {
                state,
                ..
            }) => Some(state),
            _ => None,
        }
    }

    fn claim_of(&self, holder: lift_state::ClaimHolder) -> lift_wire::CallClaim {
        lift_wire::CallClaim {
            key: self.req.key.clone().unwrap_or_default(),
            incarnation: holder.incarnation,
            attempt: holder.attempt,
        }
    }

    fn give_answer(mut self, permit: permit::Permit) -> response::Response {
        let Some(begun) = self.answer.take() else {
            let reason = lift_types::RefusalReason::BackendUnreachable;
            return caller_reply::in_doubt(&self.shared, self.req.id, reason);
        };
        if begun.is_whole {
            let body = axum::body::Body::from(begun.early.concat());
            return caller_reply::answer(&self.shared, self.req.id, &begun.head, body);
        }
        let stream = answer_stream::AnswerStream::new(
            sync::Arc::clone(&self.shared),
            sync::Arc::clone(&self.req),
            begun.exchange,
            begun.host,
            permit,
        );
        let body = stream.early(begun.early).into_body();
        caller_reply::answer(&self.shared, self.req.id, &begun.head, body)
    }

    fn give_outcome(mut self) -> response::Response {
        let Some(outcome) = self.outcome.take() else {
            let reason = lift_types::RefusalReason::ClaimUnavailable;
            return caller_reply::in_doubt(&self.shared, self.req.id, reason);
        };
        self.shared.counters.increment("entry.outcomes_repeated");
        caller_reply::recorded(&self.shared, self.req.id, outcome)
    }

    /// A request that found or made a claim has proof about the key. Without a claim there is
    /// proof about this sending only.
    fn not_run(&self, reason: lift_types::RefusalReason, has_claim: bool) -> response::Response {
        let is_proved = has_claim || reason == lift_types::RefusalReason::KeyReused;
        let sending = if is_proved {
            sending::Sending::First
        } else {
            self.req.sending
        };
        caller_reply::refused(&self.shared, self.req.id, sending, reason)
    }
}
