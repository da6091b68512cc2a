//! Why an attempt failed.

/// Reason why an attempt at a backend server gave no usable answer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptFailure {
    /// No connection could be opened, or it was closed before the request was sent.
    NotSent,
    /// The backend server reports that it has not run the request.
    NotRun,
    /// Another backend server now uses the address. It has not run the request.
    WrongServer,
    /// The backend server has other weights than the request asks for. It has not run the
    /// request.
    WrongWeights,
    /// The backend server returned an error of its own.
    Failed,
    /// The connection broke before the answer was complete.
    Broken,
    /// The answer belongs to another request, lacks the backend server's seal, is too long, or
    /// can't be parsed.
    Damaged,
    /// No complete answer, or no further event, arrived before the timeout.
    Silent,
}

impl AttemptFailure {
    /// Whether the request is known not to have run.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::NotRun | Self::WrongServer | Self::WrongWeights
        )
    }

    /// Whether the request does not count in the limit of a cold backend server: it was not sent,
    /// or was answered with 421.
    pub fn is_uncounted(self) -> bool {
        matches!(self, Self::NotSent | Self::WrongServer | Self::WrongWeights)
    }

    /// Whether the backend server may have ended, so that it counts as cold once it is back.
    pub fn may_have_ended(self) -> bool {
        matches!(self, Self::NotSent | Self::WrongServer | Self::Broken)
    }

    /// Whether the request has reached a backend server.
    pub fn has_reached_server(self) -> bool {
        self != Self::NotSent
    }
}
