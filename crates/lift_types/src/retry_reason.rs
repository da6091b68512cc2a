//! Reason of a retry.

/// Reason why a request was sent again. Each reason has a counter (`retry.NAME`).
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
pub enum RetryReason {
    /// The agent refused the request before dispatch, or a claim was moved because the attempt
    /// of its holder did not run.
    Refused,
    /// No connection was available, or it broke before the answer was complete.
    ConnectionLost,
    /// Nothing was received on the connection for too long.
    ConnectionSilent,
    /// The answer failed a check of its id, sequence, length, end or version.
    AnswerDamaged,
    /// No answer was received before the timeout of the attempt.
    AttemptTimeout,
    /// A second copy of an idempotent request was sent to reduce the tail latency.
    Hedged,
}
