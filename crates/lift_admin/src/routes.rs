//! Routes of the administration API.

use axum::routing;

use crate::{admin_state, control_routes, fleet_routes, policy_routes, version_routes};

/// Longest body of a request, in bytes. A manifest of 250,000 chunks fits.
pub(crate) const MAX_BODY_BYTES: usize = 20 * 1024 * 1024;

/// Builds the routes.
pub(crate) fn routes(state: admin_state::AdminState) -> axum::Router {
    axum::Router::new()
        .route("/v1/policy", routing::get(policy_routes::policy))
        .route("/v1/changes", routing::post(policy_routes::change))
        .route("/v1/audit", routing::get(policy_routes::audit))
        .route(
            "/v1/versions",
            routing::get(version_routes::list).post(version_routes::publish),
        )
        .route("/v1/rollout", routing::get(fleet_routes::rollout))
        .route("/v1/members", routing::get(fleet_routes::members))
        .route(
            "/v1/members/{host}/drain",
            routing::post(fleet_routes::drain),
        )
        .route(
            "/v1/control/members",
            routing::get(control_routes::members).post(control_routes::change),
        )
        .route("/v1/metrics", routing::get(fleet_routes::metrics))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(state)
}
