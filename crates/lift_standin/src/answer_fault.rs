//! Faults of answers.

use std::time;

/// How a stand-in for a backend server misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerFault {
    /// It doesn't.
    #[default]
    None,
    /// It waits before it answers.
    Late(time::Duration),
    /// It gives the answer of another request, with that request's identifier.
    Crossed,
    /// It breaks the connection after half of the answer.
    Cut,
    /// It never answers.
    Silent,
}
