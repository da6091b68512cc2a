//! Steps of a journey.

/// Step of a non-idempotent request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum RequestStep {
    /// The entry has chosen a host.
    HostChosen,
    /// The entry has asked control for the claim.
    ClaimRequested,
    /// Control has given the claim to the entry.
    ClaimHeld,
    /// The call is on its way to the agent.
    CallSent,
    /// The backend server runs the request.
    BackendStarted,
    /// The backend server has finished; nobody else knows.
    BackendFinished,
    /// The answer is on its way to the entry.
    AnswerSent,
}
