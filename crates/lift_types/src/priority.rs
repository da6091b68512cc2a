//! Priority of a request.

/// Priority by which waiting requests are admitted. The variants are listed and ordered from
/// the lowest to the highest.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// Work that nobody waits for.
    Background,
    /// Default priority.
    #[default]
    Normal,
    /// A user waits, and a late answer counts as missed.
    Urgent,
}
