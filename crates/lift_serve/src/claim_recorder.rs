//! Recording of outcomes.

use std::{sync, time};

use crate::{seen_attempt, shared};

/// First pause after a failure to record. It doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Longest pause between two tries.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(5);

/// Records an outcome until control has it, in a task of its own. Until then this agent
/// answers queries about the claim from memory.
pub(crate) fn record(shared: &sync::Arc<shared::Shared>, req: lift_state::RecordRequest) {
    let task = record_with_retries(sync::Arc::clone(shared), req);
    shared.tasks.spawn(task);
}

async fn record_with_retries(shared: sync::Arc<shared::Shared>, req: lift_state::RecordRequest) {
    let mut pause = FIRST_PAUSE;
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
            () = tokio::time::sleep(pause) => {}
            () = shared.stopped.cancelled() => return,
        }
        pause = (pause * 2).min(MAX_PAUSE);
    }
    let state = seen_attempt::SeenAttempt::Ran(None);
    shared.claims.finish(&req.key, req.holder.attempt, state);
}
