//! Handlers for members, rollout and metrics.

use axum::{Json, extract, http::HeaderMap};

use crate::{admin_state, api_error, fleet_member, rollout_status, token_role};

/// Result of a handler.
type Handled<T> = Result<T, api_error::ApiError>;

/// Agents that this entry knows, by host.
pub(crate) async fn members(
    extract::State(state): extract::State<admin_state::AdminState>,
    headers: HeaderMap,
) -> Handled<Json<Vec<fleet_member::FleetMember>>> {
    state.authorize(&headers, token_role::TokenRole::Viewer)?;
    let mut members = state.fleet.members();
    members.sort_by_key(|member| member.location.host);
    Ok(Json(members))
}

/// How far the agents that this entry knows have followed the policy.
pub(crate) async fn rollout(
    extract::State(state): extract::State<admin_state::AdminState>,
    headers: HeaderMap,
) -> Handled<Json<rollout_status::RolloutStatus>> {
    state.authorize(&headers, token_role::TokenRole::Viewer)?;
    let view = state.control.watch().borrow().clone();
    let members = state.fleet.members();
    Ok(Json(rollout_status::RolloutStatus::of(
        &view.policy,
        &members,
    )))
}

/// Takes a host out of service.
pub(crate) async fn drain(
    extract::State(state): extract::State<admin_state::AdminState>,
    headers: HeaderMap,
    extract::Path(host): extract::Path<lift_types::HostId>,
) -> Handled<http::StatusCode> {
    let token = state.authorize(&headers, token_role::TokenRole::Operator)?;
    state.fleet.drain(host).await?;
    slog::info!(state.log, "host drained"; "host" => host, "author" => state.author(token, ""));
    Ok(http::StatusCode::NO_CONTENT)
}

/// Counters of this process as text.
pub(crate) async fn metrics(
    extract::State(state): extract::State<admin_state::AdminState>,
    headers: HeaderMap,
) -> Handled<String> {
    state.authorize(&headers, token_role::TokenRole::Viewer)?;
    Ok(state.counters.to_text())
}
