//! How an attempt ended.

/// End of one attempt at a backend server.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptEnd {
    /// No connection could be opened, or it was closed before the request was sent.
    NotSent,
    /// The backend server says that it has not run the request.
    NotRun,
    /// Another backend server has the address. It has not run the request.
    WrongServer,
    /// The backend server has other weights than the request asks for.
    WrongWeights,
    /// The backend server has answered with a failure of its own.
    Failed,
    /// The connection broke before the answer was whole.
    Broken,
    /// The answer belongs to another request, has no seal, or can't be read.
    Damaged,
    /// No answer, or no next event, came in the time that was allowed.
    Silent,
}

impl AttemptEnd {
    /// Whether the request is known not to have run.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::NotRun | Self::WrongServer | Self::WrongWeights
        )
    }

    /// Whether the request has reached a backend server.
    pub fn has_arrived(self) -> bool {
        self != Self::NotSent
    }
}
