//! Checks of an answer.

use crate::answer_part;

/// Checks the version, sequence, length and end marker of one answer.
#[derive(Debug, Default)]
pub(crate) struct AnswerCheck {
    length: Option<u64>,
    received_bytes: u64,
    next_sequence: u32,
}

impl AnswerCheck {
    /// Checks the first message, which must be a head with `required_version` if that is given.
    ///
    /// # Errors
    ///
    /// Returns the failure of the attempt if the message is not such a head.
    pub(crate) fn check_head(
        &mut self,
        message: lift_wire::AnswerMessage,
        required_version: Option<&lift_types::VersionId>,
    ) -> Result<lift_border::AnswerHead, lift_route::AttemptFailure> {
        let head = match message {
            lift_wire::AnswerMessage::Head {
                status,
                headers,
                version,
                length,
                ..
            } => lift_border::AnswerHead {
                status,
                headers,
                version,
                length,
            },
            other => return Err(failure_of(&other)),
        };
        if required_version.is_some() && required_version != head.version.as_ref() {
            return Err(lift_route::AttemptFailure::Damaged);
        }
        self.length = head.length;
        Ok(head)
    }

    /// Checks a message that follows the head: the next data message in sequence, or an end
    /// marker that matches the data received.
    ///
    /// # Errors
    ///
    /// Returns the failure of the attempt for any other message.
    pub(crate) fn check_part(
        &mut self,
        message: lift_wire::AnswerMessage,
    ) -> Result<answer_part::AnswerPart, lift_route::AttemptFailure> {
        match message {
            lift_wire::AnswerMessage::Data {
                sequence, bytes, ..
            } if sequence == self.next_sequence => {
                self.next_sequence += 1;
                self.received_bytes += bytes.len() as u64;
                if self
                    .length
                    .is_some_and(|length| self.received_bytes > length)
                {
                    return Err(lift_route::AttemptFailure::Damaged);
                }
                Ok(answer_part::AnswerPart::Data(bytes))
            }
            lift_wire::AnswerMessage::End { total, count, .. } => {
                let is_complete = total == self.received_bytes
                    && count == self.next_sequence
                    && self.length.is_none_or(|length| length == total);
                if is_complete {
                    return Ok(answer_part::AnswerPart::End);
                }
                Err(lift_route::AttemptFailure::Damaged)
            }
            // The answer has begun, so the request has run, whatever the agent says now.
            lift_wire::AnswerMessage::Refused { .. } => Err(lift_route::AttemptFailure::Damaged),
            other => Err(failure_of(&other)),
        }
    }
}

/// Returns the failure that an unexpected message means for the attempt.
fn failure_of(message: &lift_wire::AnswerMessage) -> lift_route::AttemptFailure {
    match message {
        lift_wire::AnswerMessage::Refused { reason, .. } => {
            lift_route::AttemptFailure::Refused(*reason)
        }
        lift_wire::AnswerMessage::Failed { failure, .. } => match failure {
            lift_wire::CallFailure::Broken => lift_route::AttemptFailure::ConnectionLost,
            lift_wire::CallFailure::Damaged => lift_route::AttemptFailure::Damaged,
            lift_wire::CallFailure::BackendEnded => lift_route::AttemptFailure::BackendEnded,
            lift_wire::CallFailure::Timeout => lift_route::AttemptFailure::Timeout,
        },
        _ => lift_route::AttemptFailure::Damaged,
    }
}
