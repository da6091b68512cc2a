//! Checks of an answer.

use crate::answer_part;

/// Follows the sequence, length and end mark of one answer.
#[derive(Debug, Default)]
pub(crate) struct AnswerCheck {
    length: Option<u64>,
    total: u64,
    count: u32,
}

impl AnswerCheck {
    /// Takes the head.
    pub(crate) fn head(
        &mut self,
        message: lift_wire::AnswerMessage,
        wanted: Option<&lift_types::VersionId>,
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
            other => return Err(end_of(&other)),
        };
        if wanted.is_some() && wanted != head.version.as_ref() {
            return Err(lift_route::AttemptFailure::Damaged);
        }
        self.length = head.length;
        Ok(head)
    }

    /// Takes what follows the head.
    pub(crate) fn part(
        &mut self,
        message: lift_wire::AnswerMessage,
    ) -> Result<answer_part::AnswerPart, lift_route::AttemptFailure> {
        match message {
            lift_wire::AnswerMessage::Data {
                sequence, bytes, ..
            } if sequence == self.count => {
                self.count += 1;
                self.total += bytes.len() as u64;
                if self.length.is_some_and(|length| self.total > length) {
                    return Err(lift_route::AttemptFailure::Damaged);
                }
                Ok(answer_part::AnswerPart::Data(bytes))
            }
            lift_wire::AnswerMessage::End { total, count, .. } => {
                let is_whole = total == self.total
                    && count == self.count
                    && self.length.is_none_or(|length| length == total);
                if is_whole {
                    return Ok(answer_part::AnswerPart::End);
                }
                Err(lift_route::AttemptFailure::Damaged)
            }
            other => Err(end_of(&other)),
        }
    }
}

/// End that a message stands for which is not part of a whole answer.
fn end_of(message: &lift_wire::AnswerMessage) -> lift_route::AttemptFailure {
    match message {
        lift_wire::AnswerMessage::Refused { reason, .. } => {
            lift_route::AttemptFailure::Refused(*reason)
        }
        lift_wire::AnswerMessage::Failed { failure, .. } => match failure {
            lift_wire::CallFailure::Broken => lift_route::AttemptFailure::ConnectionLost,
            lift_wire::CallFailure::Damaged => lift_route::AttemptFailure::Damaged,
            lift_wire::CallFailure::Timeout => lift_route::AttemptFailure::Timeout,
        },
        _ => lift_route::AttemptFailure::Damaged,
    }
}
