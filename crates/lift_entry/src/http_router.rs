//! HTTP routes for callers and operators.

use std::{sync, time};

use axum::{extract, response, routing};
use strum::IntoEnumIterator as _;

use crate::{caller_reply, caller_request, claimed_handler, idempotent_handler, permit, shared};

/// Maximum time for which a refused request waits for control to confirm that its key is unclaimed.
const MAX_REFUSAL_TIME: time::Duration = time::Duration::from_millis(500);

type Shared = sync::Arc<shared::Shared>;

/// Builds the router with all routes of the entry.
pub(crate) fn router(shared: Shared) -> axum::Router {
    axum::Router::new()
        .route("/v1/{service}/{*method}", routing::any(call))
        .route("/health", routing::get(async || "ok\n"))
        .route("/ready", routing::get(ready))
        .route("/metrics", routing::get(metrics))
        .with_state(shared)
}

async fn call(
    extract::State(shared): extract::State<Shared>,
    req: extract::Request,
) -> response::Response {
    shared.counters.increment("entry.requests");
    let id = shared.next_id();
    let (parts, body) = req.into_parts();
    let parsed = caller_request::CallerRequest::from_head(&shared, id, &parts);
    let request = match parsed {
        Ok(request) => request,
        Err(reason) => return caller_reply::refused_head(&shared, id, &parts.headers, reason),
    };
    let giving_up = shared.giving_up.clone();
    let handling = handle(sync::Arc::clone(&shared), request, parts.headers, body);
    let answered = giving_up.run_until_cancelled(handling).await;
    // The request may have reached an agent, which goes on with it.
    let in_doubt = || caller_reply::in_doubt(&shared, id, lift_types::RefusalReason::Draining);
    answered.unwrap_or_else(in_doubt)
}

async fn handle(
    shared: Shared,
    mut request: caller_request::CallerRequest,
    headers: http::HeaderMap,
    body: axum::body::Body,
) -> response::Response {
    if let Err(reason) = shared.readiness() {
        return refuse(shared, request, reason).await;
    }
    // The slot is acquired before the body is read, so that the memory for bodies is bounded.
    let permit = match admit(&shared, &request).await {
        Ok(permit) => permit,
        Err(reason) => return refuse(shared, request, reason).await,
    };
    if let Err(reason) = request.read_body(&shared, &headers, body).await {
        return refuse(shared, request, reason).await;
    }
    if let Some(time_left) = shared.guard.time_blocked(&request) {
        let refused = refuse(shared, request, lift_types::RefusalReason::Quarantined).await;
        return caller_reply::with_retry_after(refused, time_left);
    }
    let request = sync::Arc::new(request);
    if request.is_claimed() {
        let handler = claimed_handler::ClaimedHandler::new(sync::Arc::clone(&shared), request);
        return handler.run(permit).await;
    }
    let handler = idempotent_handler::IdempotentHandler::new(sync::Arc::clone(&shared), request);
    handler.run(permit).await
}

/// Refuses a request whose head was parsed. For a non-idempotent request control is asked about
/// the key first, because another submission under it may have run.
async fn refuse(
    shared: Shared,
    mut request: caller_request::CallerRequest,
    reason: lift_types::RefusalReason,
) -> response::Response {
    if !request.is_claimed() {
        return caller_reply::not_run(&shared, request.id, reason);
    }
    request.deadline = request
        .deadline
        .min(time::Instant::now() + MAX_REFUSAL_TIME);
    let handler = claimed_handler::ClaimedHandler::new(shared, sync::Arc::new(request));
    handler.refuse(reason).await
}

async fn admit(
    shared: &Shared,
    request: &caller_request::CallerRequest,
) -> Result<permit::Permit, lift_types::RefusalReason> {
    let limits = &request.limits;
    let now = time::Instant::now();
    let is_within = shared.with_workspace(&request.workspace, limits, |state| {
        state.bucket.take(now, limits.rate_per_s, limits.burst)
    });
    if !is_within {
        return Err(lift_types::RefusalReason::RateLimited);
    }
    shared
        .admission
        .admit(
            &request.workspace,
            limits,
            request.priority,
            request.deadline,
        )
        .await
}

async fn ready(extract::State(shared): extract::State<Shared>) -> response::Response {
    let reply = match shared.readiness() {
        Ok(()) => (http::StatusCode::OK, String::from("ready\n")),
        Err(reason) => (http::StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    };
    response::IntoResponse::into_response(reply)
}

async fn metrics(extract::State(shared): extract::State<Shared>) -> String {
    let mut counts = shared.counters.snapshot();
    for reason in lift_types::RefusalReason::iter() {
        counts.entry(format!("refusal.{reason}")).or_default();
    }
    for reason in lift_types::RetryReason::iter() {
        counts.entry(format!("retry.{reason}")).or_default();
    }
    let in_progress = shared.admission.in_progress() as u64;
    counts.insert(String::from("entry.in_progress"), in_progress);
    counts.sort_keys();
    let lines = counts
        .iter()
        .map(|(name, value)| format!("{name} {value}\n"));
    lines.collect()
}
