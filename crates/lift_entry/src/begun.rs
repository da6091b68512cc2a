//! An answer that has begun.

use crate::exchange;

/// An attempt whose head and first parts have come and are in order.
#[derive(Debug)]
pub(crate) struct Begun {
    pub(crate) exchange: exchange::Exchange,
    pub(crate) head: lift_border::AnswerHead,
    /// Parts of the body that have come.
    pub(crate) early: Vec<bytes::Bytes>,
    /// Whether these are the whole body.
    pub(crate) is_whole: bool,
    /// Host that answers.
    pub(crate) host: lift_types::HostId,
}
