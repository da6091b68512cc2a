//! Answer to a request for a claim.

use crate::{claim_holder, outcome};

/// What control knows of a claim. All of it is committed and synced.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ClaimReply {
    /// The claim is new. Whoever asked may send the request to the holder, once.
    New(claim_holder::ClaimHolder),
    /// Another entry was given the claim. Only the holder can tell whether it ran.
    Pending(claim_holder::ClaimHolder),
    /// The request ran, with this outcome.
    Recorded(outcome::Outcome),
    /// The key was used with another method, path or body.
    Mismatch,
    /// Too many claims are kept. Nothing was written.
    Full,
}
