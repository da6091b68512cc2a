//! Request for another holder of a claim.

use crate::{claim_holder, claim_key};

/// Moves a claim to another agent after the holder has proved that the attempt did not run
/// and never will.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReassignRequest {
    /// Key of the claim.
    pub key: claim_key::ClaimKey,
    /// Holder that refused. The claim moves only if it is still the holder.
    pub refused: claim_holder::ClaimHolder,
    /// Host of the next agent.
    pub host: lift_types::HostId,
    /// Incarnation of the next agent.
    pub incarnation: lift_types::Incarnation,
}
