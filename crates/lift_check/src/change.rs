//! How an entry differs.

/// What happens to an entry of the document in force.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// It has other values.
    Changed,
}
