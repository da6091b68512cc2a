//! Role of a token.

/// What the holder of a token may do. Roles are ordered: an operator may do what a viewer may.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TokenRole {
    /// May read.
    Viewer,
    /// May read, change the policy, publish versions and drain hosts.
    Operator,
}
