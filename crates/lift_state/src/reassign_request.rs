//! Request to move a claim to another holder.

use crate::{claim_holder, claim_key};

/// Moves a claim to its next attempt, on another agent or the same one. The entry sends this
/// request only if it is proved that the holder's attempt did not run and never will.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReassignRequest {
    /// Key of the claim.
    pub key: claim_key::ClaimKey,
    /// Holder whose attempt provably did not run. The claim moves only if it is still the
    /// current holder.
    pub refused: claim_holder::ClaimHolder,
    /// Host of the new holder.
    pub host: lift_types::HostId,
    /// Incarnation of the new holder.
    pub incarnation: lift_types::Incarnation,
}
