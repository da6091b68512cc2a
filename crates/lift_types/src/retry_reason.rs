//! Why a request was sent again.

/// Reason of a retry, with a counter (`retry.NAME`).
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
    /// The agent refused before dispatch.
    Refused,
    /// The connection broke before the answer was whole.
    ConnectionLost,
    /// The connection went silent.
    ConnectionSilent,
    /// The answer failed its length, sequence or end check.
    AnswerDamaged,
    /// No answer within the attempt's time.
    AttemptTimeout,
    /// A second copy of an idempotent request was sent to cut the tail latency.
    Hedged,
}
