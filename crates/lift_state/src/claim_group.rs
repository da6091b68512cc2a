//! Claims of one key group.

use std::{collections, time};

use crate::{claim_holder, claim_key, claim_reply, claim_request, outcome};
use crate::{reassign_request, record_request};

/// Time after which a claim expires, counted in log time from its creation. The next claim
/// request in its key group removes it. See `docs/decisions/claims.md`.
pub const CLAIM_RETENTION: time::Duration = time::Duration::from_hours(24);

/// Maximum number of claims in a key group. Further claims are rejected with
/// [`claim_reply::ClaimReply::Full`], because dropping an earlier claim could let its request
/// run twice.
pub const MAX_CLAIMS_PER_GROUP: usize = 6_144;

/// Maximum size of the recorded outcomes in a key group, in bytes; 32 MiB in all groups. An
/// outcome that would exceed it is kept without its body and headers.
const MAX_OUTCOME_BYTES_PER_GROUP: usize = 512 * 1024;

/// Memory that is counted for each header and for the body besides its contents, in bytes.
const OUTCOME_OVERHEAD_BYTES: usize = 128;

/// A claim with its current holder and, once the request has run, its outcome.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct Claim {
    request_hash: lift_types::ChunkHash,
    holder: claim_holder::ClaimHolder,
    outcome: Option<Box<outcome::Outcome>>,
}

/// Claims of one key group, indexed by the hash of their keys. The index and the expiry queue
/// both store the hash, which takes less memory than the key itself.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) struct ClaimGroup {
    claims: collections::HashMap<lift_types::ChunkHash, Claim>,
    oldest_first: collections::VecDeque<(time::SystemTime, lift_types::ChunkHash)>,
    outcome_bytes: usize,
}

impl ClaimGroup {
    /// Adds a claim, or returns the status of an existing claim with the same key.
    pub(crate) fn claim(
        &mut self,
        req: &claim_request::ClaimRequest,
        at: time::SystemTime,
    ) -> claim_reply::ClaimReply {
        self.expire(at);
        let key = hash_key(&req.key);
        if let Some(claim) = self.claims.get(&key) {
            if claim.request_hash != req.request_hash {
                return claim_reply::ClaimReply::Mismatch;
            }
            return claim.to_reply();
        }
        if self.claims.len() >= MAX_CLAIMS_PER_GROUP {
            return claim_reply::ClaimReply::Full;
        }
        let holder = claim_holder::ClaimHolder {
            host: req.host,
            incarnation: req.incarnation,
            attempt: 1,
        };
        let claim = Claim {
            request_hash: req.request_hash,
            holder,
            outcome: None,
        };
        self.claims.insert(key, claim);
        self.oldest_first.push_back((at, key));
        claim_reply::ClaimReply::New(holder)
    }

    /// Moves a claim to another holder if `req.refused` is still the current holder and no
    /// outcome is recorded. Returns `None` if the claim does not exist.
    pub(crate) fn reassign(
        &mut self,
        req: &reassign_request::ReassignRequest,
    ) -> Option<claim_reply::ClaimReply> {
        let claim = self.claims.get_mut(&hash_key(&req.key))?;
        if claim.outcome.is_some() || claim.holder != req.refused {
            return Some(claim.to_reply());
        }
        claim.holder = claim_holder::ClaimHolder {
            host: req.host,
            incarnation: req.incarnation,
            attempt: req.refused.attempt.saturating_add(1),
        };
        Some(claim_reply::ClaimReply::New(claim.holder))
    }

    /// Records the outcome if it comes from the current holder and is the first one. Returns
    /// `None` if the claim does not exist.
    pub(crate) fn record(
        &mut self,
        req: &record_request::RecordRequest,
    ) -> Option<claim_reply::ClaimReply> {
        let claim = self.claims.get_mut(&hash_key(&req.key))?;
        if claim.outcome.is_some() || claim.holder != req.holder {
            return Some(claim.to_reply());
        }
        let mut outcome = Box::new(req.outcome.clone());
        let over_limit = |body: &bytes::Bytes| body.len() > outcome::MAX_OUTCOME_BODY_BYTES;
        if outcome.body.as_ref().is_some_and(over_limit) {
            outcome.body = None;
        }
        if self.outcome_bytes + retained_bytes(&outcome) > MAX_OUTCOME_BYTES_PER_GROUP {
            outcome.body = None;
            outcome.headers = Vec::new();
        }
        self.outcome_bytes += retained_bytes(&outcome);
        claim.outcome = Some(outcome);
        Some(claim.to_reply())
    }

    /// Returns the status of a claim.
    pub(crate) fn find(&self, key: &claim_key::ClaimKey) -> Option<claim_reply::ClaimReply> {
        self.claims.get(&hash_key(key)).map(Claim::to_reply)
    }

    /// Returns the number of claims.
    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    fn expire(&mut self, at: time::SystemTime) {
        while let Some((first, _)) = self.oldest_first.front() {
            if at.duration_since(*first).unwrap_or_default() < CLAIM_RETENTION {
                return;
            }
            let Some((_, key)) = self.oldest_first.pop_front() else {
                return;
            };
            let outcome = self.claims.remove(&key).and_then(|claim| claim.outcome);
            self.outcome_bytes -= outcome.as_deref().map_or(0, retained_bytes);
        }
    }
}

impl Claim {
    fn to_reply(&self) -> claim_reply::ClaimReply {
        match &self.outcome {
            Some(outcome) => claim_reply::ClaimReply::Recorded(outcome.as_ref().clone()),
            None => claim_reply::ClaimReply::Pending(self.holder),
        }
    }
}

/// Returns the bytes that an outcome counts towards [`MAX_OUTCOME_BYTES_PER_GROUP`]. An outcome
/// without body and headers counts as zero.
fn retained_bytes(outcome: &outcome::Outcome) -> usize {
    let headers = outcome.headers.iter();
    let headers: usize = headers
        .map(|(name, value)| name.len() + value.len() + OUTCOME_OVERHEAD_BYTES)
        .sum();
    let body = outcome.body.as_ref();
    headers + body.map_or(0, |body| body.len() + OUTCOME_OVERHEAD_BYTES)
}

/// Hashes a key. The length before each text distinguishes keys whose concatenated texts are
/// equal.
fn hash_key(key: &claim_key::ClaimKey) -> lift_types::ChunkHash {
    let mut buf = Vec::new();
    for text in [&key.workspace, &key.service, &key.key] {
        buf.extend_from_slice(&(text.len() as u64).to_le_bytes());
        buf.extend_from_slice(text.as_bytes());
    }
    lift_types::ChunkHash::of(&buf)
}
