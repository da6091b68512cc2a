//! Part of an answer that passed its checks.

/// Part of an answer after its head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AnswerPart {
    /// Next bytes of the body.
    Data(bytes::Bytes),
    /// End of a complete answer.
    End,
}
