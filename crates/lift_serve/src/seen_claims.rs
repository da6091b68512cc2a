//! Claims that this incarnation has seen.

use std::time;

use crate::{claim_start, seen_attempt};

/// Number of shards, as many as control has key groups for claims.
const SHARDS: usize = 64;

/// Time for which a claim is remembered. It is longer than the 24 h of control, so that an
/// attempt is never forgotten while control still names it.
const RETENTION: time::Duration = time::Duration::from_secs(25 * 3600);

/// Claims in one shard, 256,000 in all: 25 h at about 2.8 a second on one host.
const MAX_CLAIMS: usize = 4_000;

/// The claims of one incarnation of an agent, by key.
#[derive(Debug)]
pub struct SeenClaims {
    shards: lift_shard::Shards<indexmap::IndexMap<lift_state::ClaimKey, Seen>>,
}

#[derive(Debug)]
struct Seen {
    attempt: lift_types::Attempt,
    at: time::Instant,
    state: seen_attempt::SeenAttempt,
}

impl SeenClaims {
    /// Starts without claims.
    pub fn new() -> Self {
        Self {
            shards: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
        }
    }

    /// Marks an attempt as in progress if it may run.
    pub fn start(
        &self,
        now: time::Instant,
        key: &lift_state::ClaimKey,
        attempt: lift_types::Attempt,
    ) -> claim_start::ClaimStart {
        self.enter(now, key, attempt, seen_attempt::SeenAttempt::Running)
    }

    /// Marks an attempt as refused. [`claim_start::ClaimStart::Refused`] is the proof that it
    /// did not run.
    pub fn refuse(
        &self,
        now: time::Instant,
        key: &lift_state::ClaimKey,
        attempt: lift_types::Attempt,
    ) -> claim_start::ClaimStart {
        match self.enter(now, key, attempt, seen_attempt::SeenAttempt::Never) {
            claim_start::ClaimStart::Run => claim_start::ClaimStart::Refused,
            other => other,
        }
    }

    /// Tells what became of an attempt. An unknown one is refused from now on.
    pub fn query(
        &self,
        now: time::Instant,
        key: &lift_state::ClaimKey,
        attempt: lift_types::Attempt,
    ) -> seen_attempt::SeenAttempt {
        if self.refuse(now, key, attempt) == claim_start::ClaimStart::Refused {
            return seen_attempt::SeenAttempt::Never;
        }
        let state = self
            .shards
            .with(key, |claims| claims.get(key).map(|seen| seen.state.clone()));
        state.unwrap_or(seen_attempt::SeenAttempt::Unknown)
    }

    /// Sets the state of an attempt that was started.
    pub fn finish(
        &self,
        key: &lift_state::ClaimKey,
        attempt: lift_types::Attempt,
        state: seen_attempt::SeenAttempt,
    ) {
        self.shards.with(key, |claims| {
            let seen = claims.get_mut(key).filter(|seen| seen.attempt == attempt);
            if let Some(seen) = seen {
                seen.state = state;
            }
        });
    }

    fn enter(
        &self,
        now: time::Instant,
        key: &lift_state::ClaimKey,
        attempt: lift_types::Attempt,
        state: seen_attempt::SeenAttempt,
    ) -> claim_start::ClaimStart {
        self.shards.with(key, |claims| {
            if let Some(seen) = claims.get_mut(key) {
                return seen.enter(now, attempt, state);
            }
            let is_old = |seen: &Seen| now.saturating_duration_since(seen.at) >= RETENTION;
            // The map keeps the order of insertion, so the first claim tells whether any is old.
            if claims.len() >= MAX_CLAIMS && claims.first().is_some_and(|(_, seen)| is_old(seen)) {
                claims.retain(|_, seen| !is_old(seen));
            }
            if claims.len() >= MAX_CLAIMS {
                return claim_start::ClaimStart::Refused;
            }
            let seen = Seen {
                attempt,
                at: now,
                state,
            };
            claims.insert(key.clone(), seen);
            claim_start::ClaimStart::Run
        })
    }
}

impl Seen {
    fn enter(
        &mut self,
        now: time::Instant,
        attempt: lift_types::Attempt,
        state: seen_attempt::SeenAttempt,
    ) -> claim_start::ClaimStart {
        if self.state != seen_attempt::SeenAttempt::Never {
            return claim_start::ClaimStart::Seen;
        }
        if attempt <= self.attempt {
            return claim_start::ClaimStart::Refused;
        }
        self.attempt = attempt;
        self.at = now;
        self.state = state;
        claim_start::ClaimStart::Run
    }
}

impl Default for SeenClaims {
    fn default() -> Self {
        Self::new()
    }
}
