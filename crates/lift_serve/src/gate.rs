//! Admission gate of the backend server.

use std::{sync, time};

use crate::{gate_state, pin};

/// Number of shards. It exceeds the number of worker threads of an agent.
const SHARDS: usize = 16;

/// Admits or refuses new requests, and counts those in progress. Each shard holds a copy of the
/// state, so that a request is checked and counted under a single lock.
#[derive(Debug)]
pub(crate) struct Gate {
    shards: lift_shard::Shards<Shard>,
    unpinned: tokio::sync::Notify,
}

#[derive(Debug)]
struct Shard {
    state: gate_state::GateState,
    pin_count: usize,
}

impl Gate {
    pub(crate) fn new(state: gate_state::GateState) -> Self {
        let new_shard = |_| Shard {
            state: state.clone(),
            pin_count: 0,
        };
        Self {
            shards: lift_shard::Shards::new(SHARDS, new_shard),
            unpinned: tokio::sync::Notify::new(),
        }
    }

    /// Admits a request and pins it to the serving version, or returns why it is refused. A
    /// request with a `required_version` is refused unless that version is serving.
    pub(crate) fn pin(
        self: &sync::Arc<Self>,
        id: lift_types::RequestId,
        required_version: Option<&lift_types::VersionId>,
    ) -> Result<pin::Pin, lift_types::RefusalReason> {
        let position = id as usize % self.shards.count();
        let version = self.shards.with_position(position, |shard| {
            let version = match &shard.state {
                gate_state::GateState::Closed(reason) => return Err(*reason),
                gate_state::GateState::Plain => None,
                gate_state::GateState::Serving(serving) => Some(serving.version.clone()),
            };
            if required_version.is_some() && required_version != version.as_ref() {
                return Err(lift_types::RefusalReason::WrongVersion);
            }
            shard.pin_count += 1;
            Ok(version)
        })?;
        Ok(pin::Pin::new(sync::Arc::clone(self), position, version))
    }

    pub(crate) fn unpin(&self, position: usize) {
        self.shards
            .with_position(position, |shard| shard.pin_count -= 1);
        self.unpinned.notify_waiters();
    }

    /// Changes the state. A gate that is closed permanently stays closed.
    pub(crate) fn set_state(&self, state: gate_state::GateState) {
        self.shards.for_each(|shard| {
            if !is_permanently_closed(&shard.state) || is_permanently_closed(&state) {
                shard.state = state.clone();
            }
        });
    }

    pub(crate) fn state(&self) -> gate_state::GateState {
        self.shards.with_position(0, |shard| shard.state.clone())
    }

    pub(crate) fn in_progress(&self) -> usize {
        self.shards.fold(0, |sum, shard| sum + shard.pin_count)
    }

    /// Waits until no request is in progress, at most for `limit`, and returns the number of
    /// requests that are still in progress.
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

fn is_permanently_closed(state: &gate_state::GateState) -> bool {
    matches!(
        state,
        gate_state::GateState::Closed(
            lift_types::RefusalReason::Leaving | lift_types::RefusalReason::Draining
        )
    )
}
