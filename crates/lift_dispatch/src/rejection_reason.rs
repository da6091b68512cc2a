//! Why the gateway rejects a request.

use crate::{attempt_failure, selection_error};

/// Reason why the gateway itself replies to a request instead of forwarding the answer of a
/// backend server. Each reason has a counter, `decline.NAME`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RejectionReason {
    /// The request can't be parsed.
    Malformed,
    /// The head of the request is too long.
    HeadTooLong,
    /// The body of the request is too long.
    BodyTooLong,
    /// The body of the request made no progress.
    BodyStalled,
    /// The gateway has no memory for the body of the request.
    Overloaded,
    /// The gateway has received no configuration yet.
    NoConfiguration,
    /// The control members could not confirm the configuration in time.
    Unconfirmed,
    /// No route matches the request, or the matching route leads to no service.
    NoRoute,
    /// The request has no API key, or one that belongs to no workspace.
    UnknownKey,
    /// No backend server accepts requests of the service.
    NoBackend,
    /// All backend servers of the service that accept requests are in evacuated failure domains.
    Evacuated,
    /// No backend server of the service is in a region in which the request may run.
    NoAllowedRegion,
    /// No backend server, except those tried before, can run the request on the weights that it
    /// needs.
    NoWeights,
    /// All backend servers that could run the request, except those tried before, are full, have
    /// too many prompts to read, are behind congested links, or are cold.
    Full,
    /// No backend server could be reached, or none accepted the request.
    NotTaken,
    /// The request may have run, but there is no complete answer.
    NoAnswer,
    /// The deadline or the timeout of the route passed, and the request is known not to have run.
    LateUnsent,
    /// The deadline or the timeout of the route passed, and the request may have run.
    Late,
    /// A part of the request's prompt crashes backend servers.
    Quarantined,
    /// The gateway is stopping, and the request might outlast the stop.
    Stopping,
}

impl RejectionReason {
    /// HTTP status of the reply. 503 guarantees that the request has not run and will not run;
    /// 502 and 504 leave that open.
    pub fn http_status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::UnknownKey => 401,
            Self::NoRoute => 404,
            Self::BodyStalled => 408,
            Self::BodyTooLong => 413,
            Self::HeadTooLong => 431,
            Self::NoAnswer => 502,
            Self::Late => 504,
            Self::NoConfiguration
            | Self::Overloaded
            | Self::Unconfirmed
            | Self::NoBackend
            | Self::Evacuated
            | Self::NoAllowedRegion
            | Self::NoWeights
            | Self::Full
            | Self::NotTaken
            | Self::LateUnsent
            | Self::Quarantined
            | Self::Stopping => 503,
        }
    }

    /// Reason if no backend server could be selected. `may_have_run` is true if an earlier
    /// attempt may have run the request.
    pub fn from_selection_error(
        error: selection_error::SelectionError,
        may_have_run: bool,
    ) -> Self {
        match error {
            _ if may_have_run => Self::NoAnswer,
            selection_error::SelectionError::NoBackend => Self::NoBackend,
            selection_error::SelectionError::NoAllowedRegion => Self::NoAllowedRegion,
            selection_error::SelectionError::NoWeights => Self::NoWeights,
            selection_error::SelectionError::Full | selection_error::SelectionError::Cold => {
                Self::Full
            }
            selection_error::SelectionError::Tried => Self::NotTaken,
        }
    }

    /// Reason if there is no retry after an attempt that failed with `failure`. `may_have_run` is
    /// true if an earlier attempt may have run the request.
    pub fn from_attempt_failure(
        failure: attempt_failure::AttemptFailure,
        may_have_run: bool,
    ) -> Self {
        if may_have_run || !failure.is_not_run() {
            return Self::NoAnswer;
        }
        Self::NotTaken
    }
}
