//! Runs one call.

use std::{sync, sync::atomic, time};

use futures_util::StreamExt as _;

use crate::{answer_sender, claim_recorder, claim_start, in_flight, pin, seen_attempt, shared};

/// One call and where its answer goes.
#[derive(Debug)]
pub(crate) struct Runner {
    shared: sync::Arc<shared::Shared>,
    call: lift_wire::Call,
    in_flight: sync::Arc<in_flight::InFlight>,
    sender: answer_sender::AnswerSender,
}

impl Runner {
    pub(crate) fn new(
        shared: sync::Arc<shared::Shared>,
        call: lift_wire::Call,
        in_flight: sync::Arc<in_flight::InFlight>,
        tx: tokio::sync::mpsc::Sender<lift_wire::AnswerMessage>,
    ) -> Self {
        let ends_at = tokio::time::Instant::now() + call.time_left;
        let flight = sync::Arc::clone(&in_flight);
        let sender = answer_sender::AnswerSender::new(call.id, tx, flight, ends_at);
        Self {
            shared,
            call,
            in_flight,
            sender,
        }
    }

    /// Refuses the call or runs it to its end. A claimed call runs on when its caller has
    /// gone, because its outcome is recorded.
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
            let _ = self.sender.refuse(reason, None).await;
            return;
        };
        // An attempt is sent once. Where this sending reached another incarnation than the
        // named one, it did not reach the named one.
        let is_elsewhere = claim.incarnation != self.shared.incarnation;
        let is_refused = is_elsewhere || {
            let now = time::Instant::now();
            let start = self.shared.claims.refuse(now, &self.key(), claim.attempt);
            start == claim_start::ClaimStart::Refused
        };
        let _ = if is_refused {
            self.sender.refuse(reason, Some(claim.attempt)).await
        } else {
            self.sender.fail(lift_wire::CallFailure::Broken).await
        };
    }

    async fn run_idempotent(&mut self, pin: pin::Pin) {
        let answer = match self.shared.backend.submit(self.backend_call(&pin)).await {
            Ok(answer) => answer,
            Err(e) => return self.report(e.current_context()).await,
        };
        let _ = self.stream(answer).await;
    }

    async fn stream(&mut self, answer: lift_border::Answer) -> Result<(), answer_sender::Gone> {
        let lift_border::Answer { head, mut body } = answer;
        self.sender.head(&head).await?;
        while let Some(part) = body.next().await {
            match part {
                Ok(bytes) => self.sender.data(bytes).await?,
                Err(e) => return self.sender.fail(failure_of(&e)).await,
            }
        }
        self.sender.end().await
    }

    async fn run_claimed(&mut self, pin: pin::Pin) {
        let Some(claim) = self.call.claim.clone() else {
            return;
        };
        let key = self.key();
        let now = time::Instant::now();
        match self.shared.claims.start(now, &key, claim.attempt) {
            claim_start::ClaimStart::Run => {}
            claim_start::ClaimStart::Refused | claim_start::ClaimStart::Seen => {
                return self.refuse(lift_types::RefusalReason::ClaimElsewhere).await;
            }
        }
        let answer = match self.shared.backend.submit(self.backend_call(&pin)).await {
            Ok(answer) => answer,
            Err(e) => {
                let state = match e.current_context() {
                    lift_border::BackendError::NotSent => seen_attempt::SeenAttempt::Never,
                    _ => seen_attempt::SeenAttempt::Unknown,
                };
                self.shared.claims.finish(&key, claim.attempt, state);
                return self.report(e.current_context()).await;
            }
        };
        let outcome = self.stream_and_keep(answer).await;
        let Some(outcome) = outcome else {
            let state = seen_attempt::SeenAttempt::Unknown;
            return self.shared.claims.finish(&key, claim.attempt, state);
        };
        let state = seen_attempt::SeenAttempt::Ran(Some(outcome.clone()));
        self.shared.claims.finish(&key, claim.attempt, state);
        self.record(key, claim.attempt, outcome);
        let _ = self.sender.end().await;
    }

    /// Streams the answer of a claimed call and reads it to its end even where the caller
    /// has gone. Returns the outcome, or `None` where the answer is not whole.
    async fn stream_and_keep(
        &mut self,
        answer: lift_border::Answer,
    ) -> Option<lift_state::Outcome> {
        let lift_border::Answer { head, mut body } = answer;
        let mut is_heard = self.sender.head(&head).await.is_ok();
        let mut kept = Some(bytes::BytesMut::new());
        while let Some(part) = body.next().await {
            let bytes = match part {
                Ok(bytes) => bytes,
                Err(e) => {
                    let _ = self.sender.fail(failure_of(&e)).await;
                    return None;
                }
            };
            kept = kept.and_then(|kept| keep(kept, &bytes));
            is_heard = is_heard && self.sender.data(bytes).await.is_ok();
        }
        Some(lift_state::Outcome {
            status: head.status,
            headers: head.headers,
            body: kept.map(bytes::BytesMut::freeze),
        })
    }

    fn record(
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
        claim_recorder::record(&self.shared, req);
    }

    async fn report(&self, error: &lift_border::BackendError) {
        if *error == lift_border::BackendError::NotSent {
            return self
                .refuse(lift_types::RefusalReason::BackendUnreachable)
                .await;
        }
        self.shared.counters.increment("serve.backend_failed");
        let _ = self.sender.fail(failure_of(error)).await;
    }

    fn backend_call(&self, pin: &pin::Pin) -> lift_border::BackendCall {
        // Ids of calls are unique on a connection only. The incarnation keeps the ids of two
        // agents in front of one backend server apart.
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

    fn key(&self) -> lift_state::ClaimKey {
        let key = self.call.claim.as_ref().map(|claim| claim.key.clone());
        lift_state::ClaimKey {
            workspace: self.call.workspace.clone(),
            service: self.call.service.clone(),
            key: key.unwrap_or_default(),
        }
    }
}

fn keep(mut kept: bytes::BytesMut, bytes: &[u8]) -> Option<bytes::BytesMut> {
    if kept.len() + bytes.len() > lift_state::MAX_OUTCOME_BODY_BYTES {
        return None;
    }
    kept.extend_from_slice(bytes);
    Some(kept)
}

fn failure_of(error: &lift_border::BackendError) -> lift_wire::CallFailure {
    match error {
        lift_border::BackendError::NotSent | lift_border::BackendError::Broken => {
            lift_wire::CallFailure::Broken
        }
        lift_border::BackendError::Timeout => lift_wire::CallFailure::Timeout,
        lift_border::BackendError::Truncated
        | lift_border::BackendError::Crossed { .. }
        | lift_border::BackendError::WrongVersion { .. } => lift_wire::CallFailure::Damaged,
    }
}
