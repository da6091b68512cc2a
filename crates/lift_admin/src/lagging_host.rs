//! A replica that does not serve its version yet.

/// What a replica serves and what the policy asks for.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LaggingHost {
    /// The host.
    pub host: lift_types::HostId,
    /// Version that it serves, `None` where it serves nothing.
    pub serving: Option<lift_types::VersionId>,
    /// Version that the policy asks for, `None` before the first default is set.
    pub wanted: Option<lift_types::VersionId>,
}
