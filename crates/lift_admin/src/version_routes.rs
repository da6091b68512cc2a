//! Handlers for versions.

use axum::{Json, extract, http::HeaderMap};

use crate::{admin_state, api_error, manifest_body, token_role, version_status};

/// Result of a handler.
type Handled<T> = Result<T, api_error::ApiError>;

/// Makes a version known.
pub(crate) async fn publish(
    extract::State(state): extract::State<admin_state::AdminState>,
    headers: HeaderMap,
    Json(body): Json<manifest_body::ManifestBody>,
) -> Handled<http::StatusCode> {
    let token = state.authorize(&headers, token_role::TokenRole::Operator)?;
    let manifest = body.decode().map_err(|path| {
        let error = format!("{path}: not a hash; allowed: 64 hexadecimal digits");
        api_error::ApiError::new(http::StatusCode::UNPROCESSABLE_ENTITY, error)
    })?;
    manifest.check().map_err(|e| {
        api_error::ApiError::new(http::StatusCode::UNPROCESSABLE_ENTITY, e.to_string())
    })?;
    let version = manifest.version.clone();
    state.control.publish(manifest).await?;
    slog::info!(state.log, "version published"; "version" => version,
        "author" => state.author(token, ""));
    Ok(http::StatusCode::NO_CONTENT)
}

/// Known versions, oldest first.
pub(crate) async fn list(
    extract::State(state): extract::State<admin_state::AdminState>,
    headers: HeaderMap,
) -> Handled<Json<Vec<version_status::VersionStatus>>> {
    state.authorize(&headers, token_role::TokenRole::Viewer)?;
    let versions = state.control.versions().await?;
    let members = state.fleet.members();
    let status = |version: lift_types::VersionId| {
        let serves = |m: &&crate::FleetMember| m.serving.as_ref() == Some(&version);
        let serving = members.iter().filter(serves).count() as u32;
        version_status::VersionStatus { version, serving }
    };
    Ok(Json(versions.into_iter().map(status).collect()))
}
