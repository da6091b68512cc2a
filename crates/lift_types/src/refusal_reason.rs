//! Reason why a request was refused.

/// Reason of a refusal. A refusal proves that the request did not run. Each reason has a
/// counter (`refusal.NAME`) and a documented HTTP status. An entry also gives one of these
/// reasons if it is unknown whether the request ran, and counts it under `in_doubt.NAME`.
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
    /// The process is shutting down.
    Draining,
    /// The backend server is leaving the fleet and accepts no new requests.
    Leaving,
    /// The host is switching to another version.
    Switching,
    /// The host serves no version.
    NotServing,
    /// The host serves a version other than the requested one.
    WrongVersion,
    /// The node could not confirm its configuration revision in time.
    ConfigUnconfirmed,
    /// No host can accept the request.
    NoHost,
    /// The policy does not list the service, or the agent does not offer it.
    UnknownService,
    /// The workspace exceeds its rate limit.
    RateLimited,
    /// The queue of the workspace is full.
    QueueFull,
    /// The deadline can't be met.
    DeadlineUnmet,
    /// The host has too many requests in progress.
    Overloaded,
    /// The request has no idempotency key although its method is non-idempotent.
    KeyMissing,
    /// The idempotency key was used with another method, path or body.
    KeyReused,
    /// Control did not confirm the claim as durable, or stores too many claims.
    ClaimUnavailable,
    /// The claim names another agent or incarnation, the agent has already started an attempt
    /// under the key or refused this one, or it can't record another claim.
    ClaimElsewhere,
    /// The request head or body exceeds its size limit.
    TooLarge,
    /// The request could not be parsed.
    Malformed,
    /// The backend server or its agent could not be reached, the connection to it failed, or its
    /// answer was damaged.
    BackendUnreachable,
    /// Backend servers ended one after the other while they ran the same request.
    Quarantined,
}

impl RefusalReason {
    /// Returns the HTTP status of the refusal.
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

    /// Returns whether a retry of the same request can succeed.
    pub fn is_retryable(self) -> bool {
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
