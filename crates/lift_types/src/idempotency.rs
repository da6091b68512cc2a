//! Whether a method may run twice.

/// Class of a method. A method that the policy does not name is non-idempotent.
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
