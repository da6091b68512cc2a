//! What control and the holder of a claim say about it.

use std::{sync, time};

use crate::{caller_request, link_event, shared};

use lift_route::ClaimedEvent as Event;

/// Pause before the second query of a claim. It doubles up to [`MAX_QUERY_PAUSE`].
const QUERY_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Longest pause between two queries.
const MAX_QUERY_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Time beyond the deadline in which control may confirm that a request did not run.
const LOOK_GRACE: time::Duration = time::Duration::from_millis(500);

/// Longest time for one query of an agent.
const QUERY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Asks control and agents about the claim of one request.
#[derive(Debug)]
pub(crate) struct ClaimClient {
    shared: sync::Arc<shared::Shared>,
    req: sync::Arc<caller_request::CallerRequest>,
    /// Outcome that control or the holder reported last.
    outcome: Option<lift_state::Outcome>,
}

impl ClaimClient {
    pub(crate) fn new(
        shared: sync::Arc<shared::Shared>,
        req: sync::Arc<caller_request::CallerRequest>,
    ) -> Self {
        Self {
            shared,
            req,
            outcome: None,
        }
    }

    /// Outcome that was reported.
    pub(crate) fn take_outcome(&mut self) -> Option<lift_state::Outcome> {
        self.outcome.take()
    }

    pub(crate) async fn claim(
        &mut self,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
    ) -> Event {
        let req = lift_state::ClaimRequest {
            key: self.req.claim_key(),
            request_hash: self.req.body_hash(),
            host,
            incarnation,
        };
        let control = sync::Arc::clone(&self.shared.control);
        self.ask(self.req.deadline, async move {
            control.claim(req).await.map(Some)
        })
        .await
    }

    pub(crate) async fn reassign(
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

    pub(crate) async fn look(&mut self) -> Event {
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
            return Event::DeadlineExceeded;
        };
        match reply {
            Ok(Some(lift_state::ClaimReply::New(holder))) => Event::Granted(holder),
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

    pub(crate) async fn query(&mut self, holder: lift_state::ClaimHolder, earlier: u32) -> Event {
        if earlier > 0 {
            let pause = QUERY_PAUSE.saturating_mul(1 << (earlier - 1).min(10));
            tokio::time::sleep(pause.min(MAX_QUERY_PAUSE)).await;
        }
        if self.req.time_left().is_zero() {
            return Event::DeadlineExceeded;
        }
        self.shared.counters.increment("entry.claim_queries");
        let asked = tokio::time::timeout(QUERY_TIMEOUT, self.ask_holder(holder)).await;
        match asked.ok().flatten() {
            None => Event::QueryFailed(holder),
            Some(lift_wire::ClaimState::Running) => Event::Running(holder),
            Some(lift_wire::ClaimState::Never) => Event::WillNotRun(holder),
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
        let registration = link.request(id, message).await.ok()?;
        match registration.mailbox.recv().await {
            link_event::LinkEvent::Message(lift_wire::AnswerMessage::Claim { state, .. }) => {
                Some(state)
            }
            _ => None,
        }
    }

    /// Claim as agents see it.
    pub(crate) fn claim_of(&self, holder: lift_state::ClaimHolder) -> lift_wire::CallClaim {
        lift_wire::CallClaim {
            key: self.req.key.clone().unwrap_or_default(),
            incarnation: holder.incarnation,
            attempt: holder.attempt,
        }
    }
}
