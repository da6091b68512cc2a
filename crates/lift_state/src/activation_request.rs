//! Request to switch a host to a version.

/// Asks for permission to unload the current version of a host, if any, and load another one.
/// The host is out of service in between.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ActivationRequest {
    /// Region, failure domain and host of the agent.
    pub location: lift_types::Location,
    /// Incarnation of the agent.
    pub incarnation: lift_types::Incarnation,
    /// Version that the host serves now, if any.
    pub serving: Option<lift_types::ServingVersion>,
    /// Version to switch to. The host has stored and verified all its chunks.
    pub version: lift_types::VersionId,
    /// Revision of the policy that sets this version as the target version.
    pub revision: lift_types::Revision,
}
