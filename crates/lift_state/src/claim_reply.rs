//! Reply to a claim request.

use crate::{claim_holder, outcome};

/// Status of a claim. Every status is committed to the replicated log and synced to disk
/// before it is returned.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ClaimReply {
    /// The claim was added for this holder or moved to it by this command. The requesting entry
    /// may send the request to the holder, once.
    New(claim_holder::ClaimHolder),
    /// The claim was granted before and has no outcome yet. Only the holder knows whether the
    /// request ran.
    Pending(claim_holder::ClaimHolder),
    /// The request ran and had this outcome.
    Recorded(outcome::Outcome),
    /// The key was already used with another method, path or body.
    Mismatch,
    /// The key group holds the maximum number of claims. No claim was added.
    Full,
}
