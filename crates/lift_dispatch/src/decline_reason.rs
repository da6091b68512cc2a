//! Why a request gets no answer of a backend server.

use crate::{attempt_end, choice_reason};

/// Reason of a reply that the gateway makes itself, with a counter (`decline.NAME`).
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum DeclineReason {
    /// The request can't be read.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration could not be confirmed in time.
    Unconfirmed,
    /// No route leads to a service.
    NoRoute,
    /// No workspace has the key.
    UnknownKey,
    /// No backend server takes requests of the service.
    NoBackend,
    /// No backend server holds the weights.
    NoWeights,
    /// All backend servers are full.
    Full,
    /// No backend server could be reached or took the request.
    NotTaken,
    /// The request may have run, but there is no whole answer.
    NoAnswer,
    /// The deadline or the time-out of the route passed before the request was sent.
    LateUnsent,
    /// The deadline or the time-out of the route passed after the request was sent.
    Late,
    /// The gateway is stopping.
    Stopping,
}

impl DeclineReason {
    /// HTTP status. 503 promises that the request has not run and will not run; 502 and 504
    /// promise nothing.
    pub fn http_status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::UnknownKey => 401,
            Self::NoRoute => 404,
            Self::BodyTooLong => 413,
            Self::HeadTooLong => 431,
            Self::NoAnswer => 502,
            Self::Late => 504,
            Self::NoConfiguration
            | Self::Unconfirmed
            | Self::NoBackend
            | Self::NoWeights
            | Self::Full
            | Self::NotTaken
            | Self::LateUnsent
            | Self::Stopping => 503,
        }
    }

    /// Reason for a choice that found none, after `last` attempts have failed.
    pub fn of_choice(reason: choice_reason::ChoiceReason, has_run: bool) -> Self {
        match reason {
            _ if has_run => Self::NoAnswer,
            choice_reason::ChoiceReason::NoBackend => Self::NoBackend,
            choice_reason::ChoiceReason::NoWeights => Self::NoWeights,
            choice_reason::ChoiceReason::Full => Self::Full,
            choice_reason::ChoiceReason::Tried => Self::NotTaken,
        }
    }

    /// Reason after a last attempt that ended with `end`.
    pub fn of_attempt(end: attempt_end::AttemptEnd, has_run: bool) -> Self {
        if has_run || !end.is_not_run() {
            return Self::NoAnswer;
        }
        Self::NotTaken
    }
}
