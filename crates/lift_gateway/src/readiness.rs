//! Readiness check for the load balancer.

use std::sync;

use axum::{extract, routing};

use crate::shared;

type Shared = sync::Arc<shared::Shared>;

/// Responds to GET at any path with 200 if requests can be served, or else with 503 and the
/// reason.
pub(crate) fn router(shared: Shared) -> axum::Router {
    axum::Router::new()
        .fallback(routing::get(ready))
        .with_state(shared)
}

async fn ready(extract::State(shared): extract::State<Shared>) -> (http::StatusCode, String) {
    match shared.readiness() {
        Ok(()) => (http::StatusCode::OK, String::from("ready\n")),
        Err(reason) => (http::StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}
