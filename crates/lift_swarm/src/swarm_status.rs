//! State of the weight distribution at one agent.

use crate::lease_state;

/// What an agent fetches, holds and serves, for heartbeats and tables.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SwarmStatus {
    /// Incarnation of the agent.
    pub incarnation: lift_types::Incarnation,
    /// Version that the policy asks for, `None` where none is set or known.
    pub wanted: Option<lift_types::VersionId>,
    /// Verified chunks of that version that are stored.
    pub chunks_held: u32,
    /// Number of its chunks, zero until its manifest is known.
    pub chunks: u32,
    /// Version that takes requests.
    pub serving: Option<lift_types::ServingVersion>,
    /// State of the lease.
    pub lease: lease_state::LeaseState,
}
