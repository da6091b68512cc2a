//! Claimed attempts that this incarnation of an agent has received.

use std::time;

use crate::{attempt_state, claim_decision};

/// Number of shards. It equals the number of key groups for claims in control.
const SHARDS: usize = 64;

/// Minimum time for which a claim is kept. It exceeds the 24 h for which control keeps claims,
/// so that the agent does not forget an attempt while control still holds its claim.
const RETENTION: time::Duration = time::Duration::from_secs(25 * 3600);

/// Maximum number of claims in a shard. All shards hold 256,000 claims, which is enough for
/// 25 h at about 2.8 claims per second on one host.
const MAX_CLAIMS_PER_SHARD: usize = 4_000;

/// State of one attempt per claim key at this incarnation of an agent: the attempt that was
/// started, or else the latest one that was refused. It ensures that an attempt runs at most
/// once.
#[derive(Debug)]
pub struct ClaimTable {
    shards: lift_shard::Shards<indexmap::IndexMap<lift_state::ClaimKey, TrackedClaim>>,
}

#[derive(Debug)]
struct TrackedClaim {
    attempt: lift_types::Attempt,
    recorded_at: time::Instant,
    state: attempt_state::AttemptState,
}

impl ClaimTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            shards: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
        }
    }

    /// Records an attempt as running if it may run.
    pub fn start(
        &self,
        now: time::Instant,
        key: &lift_state::ClaimKey,
        attempt: lift_types::Attempt,
    ) -> claim_decision::ClaimDecision {
        self.record(now, key, attempt, attempt_state::AttemptState::Running)
            .unwrap_or(claim_decision::ClaimDecision::WillNotRun)
    }

    /// Records an attempt as refused, unless one was started under the same key.
    /// [`claim_decision::ClaimDecision::WillNotRun`] proves that the attempt did not run.
    pub fn refuse(
        &self,
        now: time::Instant,
        key: &lift_state::ClaimKey,
        attempt: lift_types::Attempt,
    ) -> claim_decision::ClaimDecision {
        match self.record(now, key, attempt, attempt_state::AttemptState::WillNotRun) {
            Some(claim_decision::ClaimDecision::Run) | None => {
                claim_decision::ClaimDecision::WillNotRun
            }
            Some(other) => other,
        }
    }

    /// Returns the state of an attempt, or of another one that was started under the same key. An
    /// attempt that has not been received yet is recorded as refused, so that it does not run if
    /// its call arrives after the query. A full table can't record that; the state is then
    /// [`attempt_state::AttemptState::Unknown`], because the call may run once there is space.
    pub fn query(
        &self,
        now: time::Instant,
        key: &lift_state::ClaimKey,
        attempt: lift_types::Attempt,
    ) -> attempt_state::AttemptState {
        use claim_decision::ClaimDecision as Decision;
        match self.record(now, key, attempt, attempt_state::AttemptState::WillNotRun) {
            Some(Decision::Run | Decision::WillNotRun) => {
                return attempt_state::AttemptState::WillNotRun;
            }
            Some(Decision::AlreadyStarted) => {}
            None => return attempt_state::AttemptState::Unknown,
        }
        let state = self.shards.with(key, |claims| {
            claims.get(key).map(|claim| claim.state.clone())
        });
        state.unwrap_or(attempt_state::AttemptState::Unknown)
    }

    /// Sets the state of an attempt. Does nothing unless the table holds this attempt.
    pub fn finish(
        &self,
        key: &lift_state::ClaimKey,
        attempt: lift_types::Attempt,
        state: attempt_state::AttemptState,
    ) {
        self.shards.with(key, |claims| {
            let claim = claims.get_mut(key).filter(|claim| claim.attempt == attempt);
            if let Some(claim) = claim {
                claim.state = state;
            }
        });
    }

    /// Records an attempt, unless one was started under the same key. `None` if the table is full.
    fn record(
        &self,
        now: time::Instant,
        key: &lift_state::ClaimKey,
        attempt: lift_types::Attempt,
        state: attempt_state::AttemptState,
    ) -> Option<claim_decision::ClaimDecision> {
        self.shards.with(key, |claims| {
            if let Some(claim) = claims.get_mut(key) {
                return Some(claim.update(now, attempt, state));
            }
            let is_expired = |claim: &TrackedClaim| {
                now.saturating_duration_since(claim.recorded_at) >= RETENTION
            };
            // The map keeps insertion order, so the first claim is usually the oldest and the scan
            // is skipped while it is recent. A later attempt renews the time of a claim without
            // moving it, which can only delay the removal of others.
            if claims.len() >= MAX_CLAIMS_PER_SHARD
                && claims.first().is_some_and(|(_, claim)| is_expired(claim))
            {
                claims.retain(|_, claim| !is_expired(claim));
            }
            if claims.len() >= MAX_CLAIMS_PER_SHARD {
                return None;
            }
            let claim = TrackedClaim {
                attempt,
                recorded_at: now,
                state,
            };
            claims.insert(key.clone(), claim);
            Some(claim_decision::ClaimDecision::Run)
        })
    }
}

impl TrackedClaim {
    fn update(
        &mut self,
        now: time::Instant,
        attempt: lift_types::Attempt,
        state: attempt_state::AttemptState,
    ) -> claim_decision::ClaimDecision {
        if self.state != attempt_state::AttemptState::WillNotRun {
            return claim_decision::ClaimDecision::AlreadyStarted;
        }
        if attempt <= self.attempt {
            return claim_decision::ClaimDecision::WillNotRun;
        }
        self.attempt = attempt;
        self.recorded_at = now;
        self.state = state;
        claim_decision::ClaimDecision::Run
    }
}

impl Default for ClaimTable {
    fn default() -> Self {
        Self::new()
    }
}
