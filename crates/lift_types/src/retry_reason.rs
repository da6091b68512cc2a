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
    /// The agent refused the request before dispatch.
    Refused,
    /// The connection broke before the answer was complete.
    ConnectionLost,
    /// Nothing was received on the connection for too long.
    ConnectionSilent,
    /// The answer failed the check of its length, sequence or end marker.
    AnswerDamaged,
    /// No answer was received before the timeout of the attempt.
    AttemptTimeout,
    /// A second copy of an idempotent request was sent to reduce the tail latency.
    Hedged,
}
