//! How a control member starts on an empty disk.

/// Whether a member belongs to a new cluster.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum ControlStart {
    /// The member is one of the first; on an empty disk it starts with the list of members.
    #[default]
    NewCluster,
    /// The member is added to a running cluster, and learns the members from it.
    Join,
}
