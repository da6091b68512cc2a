//! Idempotency of a method.

/// Whether a method may run more than once for one request. A method that the policy does not
/// list is non-idempotent.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Idempotency {
    /// The method may be retried and hedged.
    Idempotent,
    /// The method runs at most once and needs a claim before dispatch.
    #[default]
    NonIdempotent,
}
