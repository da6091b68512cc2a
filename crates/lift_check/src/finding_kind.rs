//! Kinds of findings.

/// What is wrong with an entry. The names are part of the output of `liftctl`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum FindingKind {
    /// No request can ever match the entry, or each that matches it is refused.
    NeverMatches,
    /// Two limits contradict each other.
    Contradiction,
    /// Nothing refers to the entry.
    Unused,
}
