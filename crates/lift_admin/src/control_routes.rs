//! Handlers for the members of control.

use axum::{Json, extract, http::HeaderMap};

use crate::{
    admin_state, api_error, control_change, control_member_status, control_members, token_role,
};

/// Result of a handler.
type Handled<T> = Result<T, api_error::ApiError>;

/// Members of control.
pub(crate) async fn members(
    extract::State(state): extract::State<admin_state::AdminState>,
    headers: HeaderMap,
) -> Handled<Json<Vec<control_member_status::ControlMemberStatus>>> {
    state.authorize(&headers, token_role::TokenRole::Viewer)?;
    Ok(Json(find(&state)?.members()))
}

/// Makes one change of the members.
pub(crate) async fn change(
    extract::State(state): extract::State<admin_state::AdminState>,
    headers: HeaderMap,
    Json(body): Json<control_change::ControlChange>,
) -> Handled<http::StatusCode> {
    let token = state.authorize(&headers, token_role::TokenRole::Operator)?;
    find(&state)?.change(body).await?;
    slog::info!(state.log, "control members changed"; "change" => ?body,
        "author" => state.author(token, ""));
    Ok(http::StatusCode::NO_CONTENT)
}

fn find(state: &admin_state::AdminState) -> Handled<&dyn control_members::ControlMembers> {
    state.members.as_deref().ok_or_else(|| {
        let error = "this server is no control member; use a control.admin_listener";
        api_error::ApiError::new(http::StatusCode::NOT_IMPLEMENTED, error)
    })
}
