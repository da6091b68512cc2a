//! Request to record an outcome.

use crate::{claim_holder, claim_key, outcome};

/// Records the outcome of an attempt. It is accepted only for the current holder.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RecordRequest {
    /// Key of the claim.
    pub key: claim_key::ClaimKey,
    /// Holder that ran the request.
    pub holder: claim_holder::ClaimHolder,
    /// Its outcome.
    pub outcome: outcome::Outcome,
}
