//! Request to switch a host to a version.

/// Asks whether a host may leave its version and load another one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ActivationRequest {
    /// Where the agent is.
    pub place: lift_types::Place,
    /// Its incarnation.
    pub incarnation: lift_types::Incarnation,
    /// Version that it serves now.
    pub serving: Option<lift_types::ServingVersion>,
    /// Version that it holds whole and verified.
    pub version: lift_types::VersionId,
    /// Revision of the policy that asks for this version.
    pub revision: lift_types::Revision,
}
