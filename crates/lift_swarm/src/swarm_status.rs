//! Status of the weight distribution at one agent.

use crate::lease_state;

/// Status of an agent: the version that it fetches, the chunks it holds and what it serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SwarmStatus {
    /// Incarnation of the agent.
    pub incarnation: lift_types::Incarnation,
    /// Target version of this host, `None` if the policy sets none or is not known yet.
    #[serde(rename = "wanted")]
    pub target_version: Option<lift_types::VersionId>,
    /// Number of chunks of the target version that are stored and verified.
    pub chunks_held: u32,
    /// Number of chunks of the target version, zero until its manifest is known.
    pub chunks: u32,
    /// Version for which requests are accepted, `None` while the request side is closed.
    pub serving: Option<lift_types::ServingVersion>,
    /// State of the lease of this incarnation.
    pub lease: lease_state::LeaseState,
}
