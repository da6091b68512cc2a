//! State of a claimed attempt.

/// What this incarnation knows of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SeenAttempt {
    /// It is in progress.
    Running,
    /// It ran. The outcome is kept until control has recorded it.
    Ran(Option<lift_state::Outcome>),
    /// It did not run and is refused from now on.
    Never,
    /// The backend server got it and gave no whole answer.
    Unknown,
}
