//! A question that a control member has answered.

use std::time;

/// The last question of one connection that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AnsweredQuestion {
    pub(crate) nonce: u64,
    pub(crate) asked_at: time::Instant,
    /// Whether the member has confirmed its state, as the leader.
    pub(crate) is_confirmed: bool,
}
