//! Records outcomes of claimed calls in control.

use std::{sync, time};

use crate::{attempt_state, shared};

/// Backoff after the first failure to record an outcome. It doubles up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(50);

/// Maximum backoff between two retries.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(5);

/// Spawns a task that records an outcome in control. It retries after errors, until control
/// replies or the agent stops. Until control has recorded the outcome, this agent answers
/// queries about the claim from memory.
pub(crate) fn record(shared: &sync::Arc<shared::Shared>, req: lift_state::RecordRequest) {
    let task = record_with_retries(sync::Arc::clone(shared), req);
    shared.tasks.spawn(task);
}

async fn record_with_retries(shared: sync::Arc<shared::Shared>, req: lift_state::RecordRequest) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        match shared.control.record(req.clone()).await {
            Ok(lift_state::ClaimReply::Recorded(_)) => break,
            Ok(reply) => {
                slog::warn!(shared.logger, "outcome not accepted"; "reply" => ?reply);
                shared.counters.increment("serve.record_refused");
                return;
            }
            Err(_) => shared.counters.increment("serve.record_failed"),
        }
        tokio::select! {
            () = tokio::time::sleep(backoff) => {}
            () = shared.stopped.cancelled() => return,
        }
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    let state = attempt_state::AttemptState::Ran(None);
    shared.claims.finish(&req.key, req.holder.attempt, state);
}
