//! A published version.

/// A version and how many replicas serve it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct VersionStatus {
    /// The version.
    pub version: lift_types::VersionId,
    /// Replicas known to this entry that serve it.
    pub serving: u32,
}
