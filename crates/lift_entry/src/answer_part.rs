//! Checked part of an answer.

/// What follows the head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AnswerPart {
    /// Bytes of the body.
    Data(bytes::Bytes),
    /// The answer is whole.
    End,
}
