//! Handlers for the policy and the audit log.

use std::sync;

use axum::{Json, extract, http::HeaderMap, response, response::IntoResponse as _};

use crate::{
    admin_state, api_error, audit_query, change_answer, change_body, change_mode, preview,
    token_role,
};

/// Most records of one answer.
const MAX_AUDIT_RECORDS: u32 = 10_000;

/// Result of a handler.
type Handled<T> = Result<T, api_error::ApiError>;

/// Carries out, or previews, a change of the policy.
pub(crate) async fn change(
    extract::State(state): extract::State<admin_state::AdminState>,
    headers: HeaderMap,
    Json(body): Json<change_body::ChangeBody>,
) -> Handled<response::Response> {
    let token = state.authorize(&headers, token_role::TokenRole::Operator)?;
    let mode = body.mode;
    let change = lift_state::ConfigChange {
        id: body.id,
        expected: body.expected,
        author: state.author(token, &body.author),
        reason: body.reason,
        edits: body.edits,
    };
    let answer = match mode {
        change_mode::ChangeMode::DryRun => dry_run(&state, &change).await?,
        change_mode::ChangeMode::Apply => apply(&state, change).await?,
    };
    let status = match &answer {
        change_answer::ChangeAnswer::Accepted { .. }
        | change_answer::ChangeAnswer::Preview { .. } => http::StatusCode::OK,
        change_answer::ChangeAnswer::Conflict { .. } => http::StatusCode::CONFLICT,
        change_answer::ChangeAnswer::Invalid { .. } => http::StatusCode::UNPROCESSABLE_ENTITY,
    };
    Ok((status, Json(answer)).into_response())
}

async fn apply(
    state: &admin_state::AdminState,
    change: lift_state::ConfigChange,
) -> Handled<change_answer::ChangeAnswer> {
    let (id, author) = (change.id.clone(), change.author.clone());
    let reply = state.control.change(change).await?;
    slog::info!(state.log, "policy change"; "id" => id, "author" => author,
        "reply" => ?reply);
    Ok(change_answer::ChangeAnswer::from(reply))
}

async fn dry_run(
    state: &admin_state::AdminState,
    change: &lift_state::ConfigChange,
) -> Handled<change_answer::ChangeAnswer> {
    state.counters.increment("admin.dry_runs");
    let versions = state.control.versions().await?;
    let view = state.control.watch().borrow().clone();
    Ok(preview::preview(&view.policy, change, &versions))
}

/// Policy in force at this entry.
pub(crate) async fn policy(
    extract::State(state): extract::State<admin_state::AdminState>,
    headers: HeaderMap,
) -> Handled<Json<sync::Arc<lift_types::Policy>>> {
    state.authorize(&headers, token_role::TokenRole::Viewer)?;
    let view = state.control.watch().borrow().clone();
    Ok(Json(view.policy))
}

/// Accepted changes, oldest first.
pub(crate) async fn audit(
    extract::State(state): extract::State<admin_state::AdminState>,
    headers: HeaderMap,
    extract::Query(query): extract::Query<audit_query::AuditQuery>,
) -> Handled<Json<Vec<lift_state::AuditRecord>>> {
    state.authorize(&headers, token_role::TokenRole::Viewer)?;
    let limit = query.limit.min(MAX_AUDIT_RECORDS);
    Ok(Json(state.control.audit(query.after, limit).await?))
}
