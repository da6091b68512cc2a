//! Client for the claim of one request.

use std::{sync, time};

use crate::{caller_request, link_event, shared};

use lift_route::ClaimedEvent as Event;

/// Backoff before the second query of an agent. It doubles with each query, up to
/// [`MAX_QUERY_BACKOFF`].
const BASE_QUERY_BACKOFF: time::Duration = time::Duration::from_millis(10);

/// Maximum backoff between two queries.
const MAX_QUERY_BACKOFF: time::Duration = time::Duration::from_millis(500);

/// Minimum time for reading a claim from control. It may extend beyond the deadline, so that
/// control can still confirm that the request did not run.
const MIN_READ_TIME: time::Duration = time::Duration::from_millis(500);

/// Timeout of one query of an agent.
const QUERY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Performs the claim operations of one request at control and queries the agents that hold the
/// claim.
#[derive(Debug)]
pub(crate) struct ClaimClient {
    shared: sync::Arc<shared::Shared>,
    req: sync::Arc<caller_request::CallerRequest>,
    /// Latest outcome reported by control or the holder.
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

    /// Removes and returns the latest reported outcome.
    pub(crate) fn take_outcome(&mut self) -> Option<lift_state::Outcome> {
        self.outcome.take()
    }

    /// Claims the request for the host.
    pub(crate) async fn claim(
        &mut self,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
    ) -> Event {
        let req = lift_state::ClaimRequest {
            key: self.req.claim_key(),
            request_hash: self.req.request_hash(),
            host,
            incarnation,
        };
        let control = sync::Arc::clone(&self.shared.control);
        self.call_control(self.req.deadline, async move {
            control.claim(req).await.map(Some)
        })
        .await
    }

    /// Moves the claim from the holder that refused it to another host.
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
        self.call_control(self.req.deadline, async move {
            control.reassign(req).await.map(Some)
        })
        .await
    }

    /// Reads the claim from control without changing it.
    pub(crate) async fn read_claim(&mut self) -> Event {
        let key = self.req.claim_key();
        let control = sync::Arc::clone(&self.shared.control);
        let deadline = self.req.deadline.max(time::Instant::now() + MIN_READ_TIME);
        self.call_control(deadline, async move { control.find_claim(key).await })
            .await
    }

    async fn call_control(
        &mut self,
        deadline: time::Instant,
        operation: impl Future<
            Output = Result<
                Option<lift_state::ClaimReply>,
                error_stack::Report<lift_rpc::ControlError>,
            >,
        >,
    ) -> Event {
        let Ok(reply) = tokio::time::timeout_at(deadline.into(), operation).await else {
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
                slog::warn!(self.shared.logger, "claim operation failed"; "error" => %error);
                Event::ControlFailed
            }
        }
    }

    /// Queries the holder of the claim for the state of its attempt, after a backoff that grows
    /// with the number of previous queries.
    pub(crate) async fn query(
        &mut self,
        holder: lift_state::ClaimHolder,
        previous_queries: u32,
    ) -> Event {
        if previous_queries > 0 {
            let backoff = BASE_QUERY_BACKOFF.saturating_mul(1 << (previous_queries - 1).min(10));
            tokio::time::sleep(backoff.min(MAX_QUERY_BACKOFF)).await;
        }
        if self.req.time_left().is_zero() {
            return Event::DeadlineExceeded;
        }
        self.shared.counters.increment("entry.claim_queries");
        let reply = tokio::time::timeout(QUERY_TIMEOUT, self.query_holder(holder)).await;
        match reply.ok().flatten() {
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

    /// Sends the query to the agent of the holder. If the agent has a later incarnation, the state
    /// is `Unknown` without a query, because the agent no longer has the attempt.
    async fn query_holder(&self, holder: lift_state::ClaimHolder) -> Option<lift_wire::ClaimState> {
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
            claim: self.call_claim(holder),
        };
        let message = lift_wire::CallMessage::QueryClaim(Box::new(query));
        let registration = link.send_request(id, message).await.ok()?;
        match registration.mailbox.recv().await {
            link_event::LinkEvent::Message(lift_wire::AnswerMessage::Claim { state, .. }) => {
                Some(state)
            }
            _ => None,
        }
    }

    /// Returns the claim in the form that is sent to agents.
    pub(crate) fn call_claim(&self, holder: lift_state::ClaimHolder) -> lift_wire::CallClaim {
        lift_wire::CallClaim {
            key: self.req.key.clone().unwrap_or_default(),
            incarnation: holder.incarnation,
            attempt: holder.attempt,
        }
    }
}
