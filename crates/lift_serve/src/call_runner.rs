//! Runs a call on the backend server.

use std::{sync, sync::atomic, time};

use futures_util::StreamExt as _;

use crate::{
    answer_sender, attempt_state, claim_decision, in_flight_call, outcome_recorder, pin, shared,
};

/// A call with the sender of its answer.
#[derive(Debug)]
pub(crate) struct CallRunner {
    shared: sync::Arc<shared::Shared>,
    call: lift_wire::Call,
    in_flight: sync::Arc<in_flight_call::InFlightCall>,
    sender: answer_sender::AnswerSender,
}

impl CallRunner {
    pub(crate) fn new(
        shared: sync::Arc<shared::Shared>,
        call: lift_wire::Call,
        in_flight: sync::Arc<in_flight_call::InFlightCall>,
        tx: tokio::sync::mpsc::Sender<lift_wire::AnswerMessage>,
    ) -> Self {
        let deadline = tokio::time::Instant::now() + call.time_left;
        let in_flight_call = sync::Arc::clone(&in_flight);
        let sender = answer_sender::AnswerSender::new(call.id, tx, in_flight_call, deadline);
        Self {
            shared,
            call,
            in_flight,
            sender,
        }
    }

    /// Refuses the call, or runs it until it finishes. An idempotent call is stopped when it is
    /// cancelled. A claimed call continues, because its outcome is recorded.
    pub(crate) async fn run(mut self) {
        let pin = match self.admit() {
            Ok(pin) => pin,
            Err(reason) => return self.refuse(reason).await,
        };
        if self.call.claim.is_some() {
            return self.run_claimed(pin).await;
        }
        let cancelled = self.in_flight.cancelled.clone();
        tokio::select! {
            biased;
            () = cancelled.cancelled() => self.shared.counters.increment("serve.cancelled"),
            () = self.run_idempotent(pin) => {}
        }
    }

    fn admit(&self) -> Result<pin::Pin, lift_types::RefusalReason> {
        let now = time::Instant::now();
        if !self.shared.policy.borrow().is_confirmed(now) {
            return Err(lift_types::RefusalReason::ConfigUnconfirmed);
        }
        if !self.shared.services.contains(&self.call.service) {
            return Err(lift_types::RefusalReason::UnknownService);
        }
        if self.call.time_left.is_zero() {
            return Err(lift_types::RefusalReason::DeadlineUnmet);
        }
        let claim = self.call.claim.as_ref();
        if claim.is_some_and(|claim| claim.incarnation != self.shared.incarnation) {
            return Err(lift_types::RefusalReason::ClaimElsewhere);
        }
        let pin = self
            .shared
            .gate
            .pin(self.call.id, self.call.version.as_ref())?;
        if self.shared.gate.in_progress() > self.shared.max_in_progress {
            return Err(lift_types::RefusalReason::Overloaded);
        }
        Ok(pin)
    }

    async fn refuse(&self, reason: lift_types::RefusalReason) {
        self.shared
            .counters
            .increment_member("serve.refusal", reason.into());
        let Some(claim) = &self.call.claim else {
            let _ = self.sender.send_refusal(reason, None).await;
            return;
        };
        // An entry sends an attempt only once. A call that reaches another incarnation than its
        // claim names therefore never reaches the named one.
        let is_elsewhere = claim.incarnation != self.shared.incarnation;
        let will_not_run = is_elsewhere || {
            let now = time::Instant::now();
            let decision = self
                .shared
                .claims
                .refuse(now, &self.claim_key(), claim.attempt);
            decision == claim_decision::ClaimDecision::WillNotRun
        };
        let _ = if will_not_run {
            self.sender.send_refusal(reason, Some(claim.attempt)).await
        } else {
            self.sender
                .send_failure(lift_wire::CallFailure::Broken)
                .await
        };
    }

    async fn run_idempotent(&mut self, pin: pin::Pin) {
        let answer = match self
            .shared
            .backend
            .submit(self.build_backend_call(&pin))
            .await
        {
            Ok(answer) => answer,
            Err(e) => return self.send_backend_error(e.current_context()).await,
        };
        let _ = self.stream_answer(answer).await;
    }

    async fn stream_answer(
        &mut self,
        answer: lift_border::Answer,
    ) -> Result<(), answer_sender::SendAborted> {
        let lift_border::Answer { head, mut body } = answer;
        self.sender.send_head(&head).await?;
        while let Some(part) = body.next().await {
            match part {
                Ok(bytes) => self.sender.send_data(bytes).await?,
                Err(e) => return self.sender.send_failure(to_call_failure(&e)).await,
            }
        }
        self.sender.send_end().await
    }

    async fn run_claimed(&mut self, pin: pin::Pin) {
        let Some(claim) = self.call.claim.clone() else {
            return;
        };
        let key = self.claim_key();
        let now = time::Instant::now();
        match self.shared.claims.start(now, &key, claim.attempt) {
            claim_decision::ClaimDecision::Run => {}
            claim_decision::ClaimDecision::WillNotRun
            | claim_decision::ClaimDecision::AlreadyStarted => {
                return self.refuse(lift_types::RefusalReason::ClaimElsewhere).await;
            }
        }
        let answer = match self
            .shared
            .backend
            .submit(self.build_backend_call(&pin))
            .await
        {
            Ok(answer) => answer,
            Err(e) => {
                let state = match e.current_context() {
                    lift_border::BackendError::NotSent => attempt_state::AttemptState::WillNotRun,
                    _ => attempt_state::AttemptState::Unknown,
                };
                self.shared.claims.finish(&key, claim.attempt, state);
                return self.send_backend_error(e.current_context()).await;
            }
        };
        let outcome = self.stream_and_collect(answer).await;
        let Some(outcome) = outcome else {
            let state = attempt_state::AttemptState::Unknown;
            return self.shared.claims.finish(&key, claim.attempt, state);
        };
        let state = attempt_state::AttemptState::Ran(Some(outcome.clone()));
        self.shared.claims.finish(&key, claim.attempt, state);
        self.record_outcome(key, claim.attempt, outcome);
        let _ = self.sender.send_end().await;
    }

    /// Streams the answer of a claimed call to the entry and collects its outcome. Reads the
    /// answer to its end even if it can no longer be sent. Returns `None` if the answer is
    /// incomplete.
    async fn stream_and_collect(
        &mut self,
        answer: lift_border::Answer,
    ) -> Option<lift_state::Outcome> {
        let lift_border::Answer { head, mut body } = answer;
        let mut can_send = self.sender.send_head(&head).await.is_ok();
        let mut collected = Some(bytes::BytesMut::new());
        while let Some(part) = body.next().await {
            let bytes = match part {
                Ok(bytes) => bytes,
                Err(e) => {
                    let _ = self.sender.send_failure(to_call_failure(&e)).await;
                    return None;
                }
            };
            collected = collected.and_then(|body| append_within_limit(body, &bytes));
            can_send = can_send && self.sender.send_data(bytes).await.is_ok();
        }
        Some(lift_state::Outcome {
            status: head.status,
            headers: head.headers,
            body: collected.map(bytes::BytesMut::freeze),
        })
    }

    fn record_outcome(
        &self,
        key: lift_state::ClaimKey,
        attempt: lift_types::Attempt,
        outcome: lift_state::Outcome,
    ) {
        let holder = lift_state::ClaimHolder {
            host: self.shared.location.host,
            incarnation: self.shared.incarnation,
            attempt,
        };
        let req = lift_state::RecordRequest {
            key,
            holder,
            outcome,
        };
        outcome_recorder::record(&self.shared, req);
    }

    async fn send_backend_error(&self, error: &lift_border::BackendError) {
        if *error == lift_border::BackendError::NotSent {
            return self
                .refuse(lift_types::RefusalReason::BackendUnreachable)
                .await;
        }
        self.shared.counters.increment("serve.backend_failed");
        let _ = self.sender.send_failure(to_call_failure(error)).await;
    }

    fn build_backend_call(&self, pin: &pin::Pin) -> lift_border::BackendCall {
        // Ids of calls are unique only on their connection, so the backend server gets a number
        // that is unique in this process. Host and incarnation distinguish agents that share a
        // backend server.
        let (host, incarnation) = (self.shared.location.host, self.shared.incarnation);
        let number = self
            .shared
            .next_call
            .fetch_add(1, atomic::Ordering::Relaxed);
        let id = format!("{host}-{incarnation}-{number}");
        lift_border::BackendCall {
            id,
            method: self.call.http_method.clone(),
            path: self.call.path.clone(),
            headers: self.call.headers.clone(),
            body: self.call.body.clone(),
            version: pin.version.clone(),
            priority: self.call.priority,
            time_left: self.call.time_left,
            resume_from: self.call.resume_from,
        }
    }

    fn claim_key(&self) -> lift_state::ClaimKey {
        let key = self.call.claim.as_ref().map(|claim| claim.key.clone());
        lift_state::ClaimKey {
            workspace: self.call.workspace.clone(),
            service: self.call.service.clone(),
            key: key.unwrap_or_default(),
        }
    }
}

/// Appends a part to a collected body. Returns `None` if the body becomes too long to be
/// recorded.
fn append_within_limit(mut body: bytes::BytesMut, bytes: &[u8]) -> Option<bytes::BytesMut> {
    if body.len() + bytes.len() > lift_state::MAX_OUTCOME_BODY_BYTES {
        return None;
    }
    body.extend_from_slice(bytes);
    Some(body)
}

fn to_call_failure(error: &lift_border::BackendError) -> lift_wire::CallFailure {
    match error {
        lift_border::BackendError::NotSent | lift_border::BackendError::Broken => {
            lift_wire::CallFailure::Broken
        }
        lift_border::BackendError::Ended => lift_wire::CallFailure::BackendEnded,
        lift_border::BackendError::Timeout => lift_wire::CallFailure::Timeout,
        lift_border::BackendError::Truncated
        | lift_border::BackendError::Crossed { .. }
        | lift_border::BackendError::WrongVersion { .. } => lift_wire::CallFailure::Damaged,
    }
}
