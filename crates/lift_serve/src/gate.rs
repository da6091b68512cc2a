//! The gate in front of the backend server.

use std::{sync, time};

use crate::{gate_state, pin};

/// Number of shards, above the number of worker threads of an agent.
const SHARDS: usize = 16;

/// Decides whether new requests are taken, and counts those in progress. Each shard holds a
/// copy of the state, so that a request checks the state and is counted under one lock.
#[derive(Debug)]
pub(crate) struct Gate {
    shards: lift_shard::Shards<Shard>,
    unpinned: tokio::sync::Notify,
}

#[derive(Debug)]
struct Shard {
    state: gate_state::GateState,
    pins: usize,
}

impl Gate {
    pub(crate) fn new(state: gate_state::GateState) -> Self {
        let make = |_| Shard {
            state: state.clone(),
            pins: 0,
        };
        Self {
            shards: lift_shard::Shards::new(SHARDS, make),
            unpinned: tokio::sync::Notify::new(),
        }
    }

    /// Pins a request to the serving version.
    pub(crate) fn pin(
        self: &sync::Arc<Self>,
        id: lift_types::RequestId,
        wanted: Option<&lift_types::VersionId>,
    ) -> Result<pin::Pin, lift_types::RefusalReason> {
        let position = id as usize % self.shards.count();
        let version = self.shards.with_position(position, |shard| {
            let version = match &shard.state {
                gate_state::GateState::Closed(reason) => return Err(*reason),
                gate_state::GateState::Plain => None,
                gate_state::GateState::Serving(serving) => Some(serving.version.clone()),
            };
            if wanted.is_some() && wanted != version.as_ref() {
                return Err(lift_types::RefusalReason::WrongVersion);
            }
            shard.pins += 1;
            Ok(version)
        })?;
        Ok(pin::Pin::new(sync::Arc::clone(self), position, version))
    }

    pub(crate) fn unpin(&self, position: usize) {
        self.shards.with_position(position, |shard| shard.pins -= 1);
        self.unpinned.notify_waiters();
    }

    /// Changes the state. A gate that was closed for good stays closed.
    pub(crate) fn set(&self, state: gate_state::GateState) {
        self.shards.for_each(|shard| {
            if !is_closed_for_good(&shard.state) || is_closed_for_good(&state) {
                shard.state = state.clone();
            }
        });
    }

    pub(crate) fn state(&self) -> gate_state::GateState {
        self.shards.with_position(0, |shard| shard.state.clone())
    }

    pub(crate) fn in_progress(&self) -> usize {
        self.shards.fold(0, |sum, shard| sum + shard.pins)
    }

    /// Waits until no request is in progress, at most for `limit`, and returns how many are.
    pub(crate) async fn drain(&self, limit: time::Duration) -> usize {
        let drained = async {
            loop {
                let unpinned = self.unpinned.notified();
                tokio::pin!(unpinned);
                unpinned.as_mut().enable();
                if self.in_progress() == 0 {
                    return;
                }
                unpinned.await;
            }
        };
        let _ = tokio::time::timeout(limit, drained).await;
        self.in_progress()
    }
}

fn is_closed_for_good(state: &gate_state::GateState) -> bool {
    matches!(
        state,
        gate_state::GateState::Closed(
            lift_types::RefusalReason::Leaving | lift_types::RefusalReason::Draining
        )
    )
}
