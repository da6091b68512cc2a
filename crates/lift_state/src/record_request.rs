//! Request to record an outcome.

use crate::{claim_holder, claim_key, outcome};

/// Records the outcome of an attempt. It is accepted only if `holder` is the current holder
/// and no outcome is recorded yet.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RecordRequest {
    /// Key of the claim.
    pub key: claim_key::ClaimKey,
    /// Holder that ran the request.
    pub holder: claim_holder::ClaimHolder,
    /// Outcome of the attempt.
    pub outcome: outcome::Outcome,
}
