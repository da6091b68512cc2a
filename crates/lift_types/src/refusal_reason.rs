//! Why a request was not run.

/// Reason of a refusal. Each one proves that the request did not run, has a counter
/// (`refusal.NAME`) and a documented HTTP status.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
    strum::EnumCount,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The process is stopping.
    Draining,
    /// The backend server is leaving.
    Leaving,
    /// The host is switching to another version.
    Switching,
    /// The host serves no version.
    NotServing,
    /// The host serves another version than the one asked for.
    WrongVersion,
    /// The node could not confirm its configuration revision in time.
    ConfigUnconfirmed,
    /// No host can take the request.
    NoHost,
    /// The service is not known.
    UnknownService,
    /// The workspace is over its rate limit.
    RateLimited,
    /// The queue of the workspace is full.
    QueueFull,
    /// The deadline can't be met.
    DeadlineUnmet,
    /// The host has too many requests in progress.
    Overloaded,
    /// The request has no idempotency key although its method is non-idempotent.
    KeyMissing,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The claim could not be made durable.
    ClaimUnavailable,
    /// The claim names another agent or an earlier incarnation.
    ClaimElsewhere,
    /// Head or body is over its limit.
    TooLarge,
    /// The request could not be read.
    Malformed,
    /// The connection to the backend server could not be opened.
    BackendUnreachable,
}

impl RefusalReason {
    /// HTTP status of the refusal.
    pub fn http_status(self) -> u16 {
        match self {
            Self::UnknownService => 404,
            Self::KeyMissing | Self::Malformed => 400,
            Self::KeyReused => 422,
            Self::TooLarge => 413,
            Self::RateLimited | Self::QueueFull => 429,
            Self::DeadlineUnmet => 504,
            _ => 503,
        }
    }

    /// Whether sending the request again can help.
    pub fn is_repeat_wise(self) -> bool {
        !matches!(
            self,
            Self::UnknownService
                | Self::KeyMissing
                | Self::KeyReused
                | Self::TooLarge
                | Self::Malformed
        )
    }
}
