//! Claims of one key group.

use std::{collections, time};

use crate::{claim_holder, claim_key, claim_reply, claim_request, outcome};
use crate::{reassign_request, record_request};

/// Time for which a claim is kept, counted from its first attempt. See
/// `docs/decisions/claims.md`.
pub const CLAIM_RETENTION: time::Duration = time::Duration::from_hours(24);

/// Claims that a key group keeps. A new claim above it is refused with
/// [`claim_reply::ClaimReply::Full`]: dropping an earlier one could run a request twice.
pub const MAX_CLAIMS_PER_GROUP: usize = 6_144;

/// Bytes of recorded outcomes that a key group keeps, 32 MiB in all groups. An outcome above
/// it is kept without its body and headers.
const MAX_OUTCOME_BYTES_PER_GROUP: usize = 512 * 1024;

/// Memory of an outcome and of each header besides their text, in bytes.
const OUTCOME_HEAD_BYTES: usize = 128;

#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct Claim {
    body_hash: lift_types::ChunkHash,
    holder: claim_holder::ClaimHolder,
    outcome: Option<Box<outcome::Outcome>>,
}

/// The claims whose keys fall into one group. They are found by the hash of their key,
/// which takes less memory than the key itself in two places.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) struct ClaimGroup {
    claims: collections::HashMap<lift_types::ChunkHash, Claim>,
    oldest_first: collections::VecDeque<(time::SystemTime, lift_types::ChunkHash)>,
    outcome_bytes: usize,
}

impl ClaimGroup {
    /// Makes a claim, or tells what is known of the one before.
    pub(crate) fn claim(
        &mut self,
        req: &claim_request::ClaimRequest,
        at: time::SystemTime,
    ) -> claim_reply::ClaimReply {
        self.expire(at);
        let key = hash_of(&req.key);
        if let Some(claim) = self.claims.get(&key) {
            if claim.body_hash != req.body_hash {
                return claim_reply::ClaimReply::Mismatch;
            }
            return claim.known();
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
            body_hash: req.body_hash,
            holder,
            outcome: None,
        };
        self.claims.insert(key, claim);
        self.oldest_first.push_back((at, key));
        claim_reply::ClaimReply::New(holder)
    }

    /// Moves a claim from a holder that proved that it did not run it.
    pub(crate) fn reassign(
        &mut self,
        req: &reassign_request::ReassignRequest,
    ) -> Option<claim_reply::ClaimReply> {
        let claim = self.claims.get_mut(&hash_of(&req.key))?;
        if claim.outcome.is_some() || claim.holder != req.refused {
            return Some(claim.known());
        }
        claim.holder = claim_holder::ClaimHolder {
            host: req.host,
            incarnation: req.incarnation,
            attempt: req.refused.attempt.saturating_add(1),
        };
        Some(claim_reply::ClaimReply::New(claim.holder))
    }

    /// Records the outcome of the current holder. The first outcome counts.
    pub(crate) fn record(
        &mut self,
        req: &record_request::RecordRequest,
    ) -> Option<claim_reply::ClaimReply> {
        let claim = self.claims.get_mut(&hash_of(&req.key))?;
        if claim.outcome.is_some() || claim.holder != req.holder {
            return Some(claim.known());
        }
        let mut outcome = Box::new(req.outcome.clone());
        let over_limit = |body: &bytes::Bytes| body.len() > outcome::MAX_OUTCOME_BODY_BYTES;
        if outcome.body.as_ref().is_some_and(over_limit) {
            outcome.body = None;
        }
        if self.outcome_bytes + bytes_of(&outcome) > MAX_OUTCOME_BYTES_PER_GROUP {
            outcome.body = None;
            outcome.headers = Vec::new();
        }
        self.outcome_bytes += bytes_of(&outcome);
        claim.outcome = Some(outcome);
        Some(claim.known())
    }

    /// What is known of a claim.
    pub(crate) fn find(&self, key: &claim_key::ClaimKey) -> Option<claim_reply::ClaimReply> {
        self.claims.get(&hash_of(key)).map(Claim::known)
    }

    /// Number of claims that are kept.
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
            self.outcome_bytes -= outcome.as_deref().map_or(0, bytes_of);
        }
    }
}

impl Claim {
    fn known(&self) -> claim_reply::ClaimReply {
        match &self.outcome {
            Some(outcome) => claim_reply::ClaimReply::Recorded(outcome.as_ref().clone()),
            None => claim_reply::ClaimReply::Pending(self.holder),
        }
    }
}

/// Memory that counts towards the limit. An outcome without body and headers is free.
fn bytes_of(outcome: &outcome::Outcome) -> usize {
    let headers = outcome.headers.iter();
    let headers: usize = headers
        .map(|(name, value)| name.len() + value.len() + OUTCOME_HEAD_BYTES)
        .sum();
    let body = outcome.body.as_ref();
    headers + body.map_or(0, |body| body.len() + OUTCOME_HEAD_BYTES)
}

/// Hash of a key. The lengths keep keys apart whose texts are the same when joined.
fn hash_of(key: &claim_key::ClaimKey) -> lift_types::ChunkHash {
    let mut buf = Vec::new();
    for text in [&key.workspace, &key.service, &key.key] {
        buf.extend_from_slice(&(text.len() as u64).to_le_bytes());
        buf.extend_from_slice(text.as_bytes());
    }
    lift_types::ChunkHash::of(&buf)
}
