//! Priority of a request.

/// Order in which waiting requests are admitted, lowest first.
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
    /// The usual case.
    #[default]
    Normal,
    /// A person waits and a late answer counts as missed.
    Urgent,
}
