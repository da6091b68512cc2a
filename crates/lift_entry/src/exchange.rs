//! Exchange of one call with an agent.

use std::time;

use crate::{answer_check, answer_part, host_loads, link_event, registration, shared};

/// A call sent on a link, and its answer. Dropping the exchange before the answer is complete
/// cancels an idempotent call. A claimed call is run to completion by the agent.
#[derive(Debug)]
pub(crate) struct Exchange {
    registration: registration::Registration,
    check: answer_check::AnswerCheck,
    version: Option<lift_types::VersionId>,
    attempt: Option<lift_types::Attempt>,
    uncredited_bytes: u32,
    is_finished: bool,
    _load: host_loads::HostLoadGuard,
}

impl Exchange {
    /// Sends `call` to the host.
    ///
    /// # Errors
    ///
    /// Fails only if the call was not sent and never will be.
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
        let registration = link.send_request(id, message).await?;
        Ok(Self {
            registration,
            check: answer_check::AnswerCheck::default(),
            version,
            attempt,
            uncredited_bytes: 0,
            is_finished: false,
            _load: load,
        })
    }

    /// Waits until `deadline` for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns the failure of the attempt if the agent refuses or fails the call, the link is
    /// lost, the deadline passes, or the answer fails its checks.
    pub(crate) async fn recv_head(
        &mut self,
        deadline: time::Instant,
    ) -> Result<lift_border::AnswerHead, lift_route::AttemptFailure> {
        let message = self.recv_message(deadline).await?;
        if let lift_wire::AnswerMessage::Refused { attempt, .. } = &message
            && *attempt != self.attempt
        {
            // The refusal is for another attempt, so it does not prove that this one did not run.
            return Err(lift_route::AttemptFailure::Damaged);
        }
        self.check.check_head(message, self.version.as_ref())
    }

    /// Waits until `deadline` for the next part of the answer.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::recv_head`] does.
    pub(crate) async fn recv_part(
        &mut self,
        deadline: time::Instant,
    ) -> Result<answer_part::AnswerPart, lift_route::AttemptFailure> {
        let message = self.recv_message(deadline).await?;
        self.check_part(message)
    }

    /// Returns the parts of the body that have already been received, and whether they are the
    /// complete body. Short answers are usually received together with their head.
    ///
    /// # Errors
    ///
    /// Returns the failure of the attempt if the agent fails the call, the link is lost, or the
    /// answer fails its checks.
    pub(crate) fn recv_available(
        &mut self,
    ) -> Result<(Vec<bytes::Bytes>, bool), lift_route::AttemptFailure> {
        let mut parts = Vec::new();
        while let Some(event) = self.registration.mailbox.try_recv() {
            let message = self.unwrap_event(event)?;
            match self.check_part(message)? {
                answer_part::AnswerPart::Data(bytes) => parts.push(bytes),
                answer_part::AnswerPart::End => return Ok((parts, true)),
            }
        }
        Ok((parts, false))
    }

    async fn recv_message(
        &mut self,
        deadline: time::Instant,
    ) -> Result<lift_wire::AnswerMessage, lift_route::AttemptFailure> {
        if self.is_finished {
            return Err(lift_route::AttemptFailure::ConnectionLost);
        }
        match tokio::time::timeout_at(deadline.into(), self.registration.mailbox.recv()).await {
            Ok(event) => self.unwrap_event(event),
            Err(_) => Err(lift_route::AttemptFailure::Timeout),
        }
    }

    fn unwrap_event(
        &mut self,
        event: link_event::LinkEvent,
    ) -> Result<lift_wire::AnswerMessage, lift_route::AttemptFailure> {
        match event {
            link_event::LinkEvent::Message(message) => {
                self.is_finished |= message.is_last();
                Ok(message)
            }
            link_event::LinkEvent::Lost(failure) => {
                self.is_finished = true;
                Err(failure)
            }
        }
    }

    fn check_part(
        &mut self,
        message: lift_wire::AnswerMessage,
    ) -> Result<answer_part::AnswerPart, lift_route::AttemptFailure> {
        let part = self.check.check_part(message)?;
        if let answer_part::AnswerPart::Data(bytes) = &part {
            self.grant_credit(bytes.len() as u32);
        }
        Ok(part)
    }

    /// Grants the agent credit for bytes that have been read from the mailbox. Credit is granted
    /// only once half the window has been read, so that few credit messages are sent.
    fn grant_credit(&mut self, bytes: u32) {
        self.uncredited_bytes += bytes;
        if self.uncredited_bytes >= lift_wire::CallMessage::WINDOW / 2 {
            let (id, bytes) = (self.registration.id, self.uncredited_bytes);
            self.uncredited_bytes = 0;
            self.registration
                .link
                .notify(lift_wire::CallMessage::Credit { id, bytes });
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let id = self.registration.id;
        self.registration
            .link
            .notify(lift_wire::CallMessage::Cancel { id });
    }
}
