//! One attempt at one agent.

use std::time;

use crate::{answer_check, answer_part, host_loads, link_event, registration, shared};

/// A call on a link and its answer. Dropping it before the end cancels an idempotent call;
/// the agent runs a claimed one to its end.
#[derive(Debug)]
pub(crate) struct Exchange {
    registration: registration::Registration,
    check: answer_check::AnswerCheck,
    version: Option<lift_types::VersionId>,
    attempt: Option<lift_types::Attempt>,
    consumed: u32,
    is_over: bool,
    _load: host_loads::HostLoad,
}

impl Exchange {
    /// Sends `call` to the host.
    ///
    /// # Errors
    ///
    /// Fails only where the call was not sent and never will be.
    pub(crate) async fn start(
        shared: &shared::Shared,
        host: &lift_route::Candidate,
        call: lift_wire::Call,
    ) -> Result<Self, lift_route::AttemptFailure> {
        let load = shared.loads.add(host.location.host);
        let link = shared
            .links
            .get(host.location.host, host.incarnation, host.call_addr)
            .await
            .ok_or(lift_route::AttemptFailure::NotSent)?;
        let id = call.id;
        let version = call.version.clone();
        let attempt = call.claim.as_ref().map(|claim| claim.attempt);
        let message = lift_wire::CallMessage::Call(Box::new(call));
        let registration = link.request(id, message).await?;
        Ok(Self {
            registration,
            check: answer_check::AnswerCheck::default(),
            version,
            attempt,
            consumed: 0,
            is_over: false,
            _load: load,
        })
    }

    /// Waits for the head of the answer.
    pub(crate) async fn head(
        &mut self,
        until: time::Instant,
    ) -> Result<lift_border::AnswerHead, lift_route::AttemptFailure> {
        let message = self.message(until).await?;
        if let lift_wire::AnswerMessage::Refused { attempt, .. } = &message
            && *attempt != self.attempt
        {
            // The refusal names another attempt, so it proves nothing about this one.
            return Err(lift_route::AttemptFailure::Damaged);
        }
        self.check.head(message, self.version.as_ref())
    }

    /// Waits for the next part of the body.
    pub(crate) async fn part(
        &mut self,
        until: time::Instant,
    ) -> Result<answer_part::AnswerPart, lift_route::AttemptFailure> {
        let message = self.message(until).await?;
        self.checked(message)
    }

    /// Takes the parts of the body that have come already, and tells whether they are the
    /// whole of it. A short answer mostly comes with its head.
    pub(crate) fn early(
        &mut self,
    ) -> Result<(Vec<bytes::Bytes>, bool), lift_route::AttemptFailure> {
        let mut early = Vec::new();
        while let Some(event) = self.registration.mailbox.take() {
            let message = self.opened(event)?;
            match self.checked(message)? {
                answer_part::AnswerPart::Data(bytes) => early.push(bytes),
                answer_part::AnswerPart::End => return Ok((early, true)),
            }
        }
        Ok((early, false))
    }

    async fn message(
        &mut self,
        until: time::Instant,
    ) -> Result<lift_wire::AnswerMessage, lift_route::AttemptFailure> {
        if self.is_over {
            return Err(lift_route::AttemptFailure::ConnectionLost);
        }
        match tokio::time::timeout_at(until.into(), self.registration.mailbox.recv()).await {
            Ok(event) => self.opened(event),
            Err(_) => Err(lift_route::AttemptFailure::Timeout),
        }
    }

    fn opened(
        &mut self,
        event: link_event::LinkEvent,
    ) -> Result<lift_wire::AnswerMessage, lift_route::AttemptFailure> {
        match event {
            link_event::LinkEvent::Message(message) => {
                self.is_over |= message.is_last();
                Ok(message)
            }
            link_event::LinkEvent::Lost(end) => {
                self.is_over = true;
                Err(end)
            }
        }
    }

    fn checked(
        &mut self,
        message: lift_wire::AnswerMessage,
    ) -> Result<answer_part::AnswerPart, lift_route::AttemptFailure> {
        let part = self.check.part(message)?;
        if let answer_part::AnswerPart::Data(bytes) = &part {
            self.give_credit(bytes.len() as u32);
        }
        Ok(part)
    }

    /// Gives credit for what the caller has taken, in few large steps.
    fn give_credit(&mut self, bytes: u32) {
        self.consumed += bytes;
        if self.consumed >= lift_wire::CallMessage::WINDOW / 2 {
            let (id, bytes) = (self.registration.id, self.consumed);
            self.consumed = 0;
            self.registration
                .link
                .notify(lift_wire::CallMessage::Credit { id, bytes });
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let id = self.registration.id;
        self.registration
            .link
            .notify(lift_wire::CallMessage::Cancel { id });
    }
}
