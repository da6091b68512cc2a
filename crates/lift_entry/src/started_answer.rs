//! Answer that has started to arrive.

use crate::exchange;

/// Answer of an attempt whose head and first parts have been received and checked.
#[derive(Debug)]
pub(crate) struct StartedAnswer {
    pub(crate) exchange: exchange::Exchange,
    pub(crate) head: lift_border::AnswerHead,
    /// Parts of the body received so far.
    pub(crate) parts: Vec<bytes::Bytes>,
    /// Whether these parts are the complete body.
    pub(crate) is_complete: bool,
    /// Host that sends the answer.
    pub(crate) host: lift_types::HostId,
}
