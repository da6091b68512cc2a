//! State of a claimed attempt.

/// State of an attempt at the incarnation of the agent that received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt is in progress.
    Running,
    /// The attempt ran. The outcome is kept until control has recorded it, and is `None`
    /// afterwards.
    Ran(Option<lift_state::Outcome>),
    /// The attempt did not run, and it is refused from now on.
    WillNotRun,
    /// The backend server may have received the request, and returned no complete answer.
    Unknown,
}
