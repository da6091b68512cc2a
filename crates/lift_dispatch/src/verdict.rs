//! What follows from the end of an attempt.

/// Verdict on a request whose attempt has ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to another backend server.
    Again,
    /// Tell the caller that there is no answer, or pass on the failure.
    GiveUp,
}
