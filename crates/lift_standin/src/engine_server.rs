//! HTTP port for orders to the engine stand-in.

use std::sync;

use axum::{extract, response, routing};
use lift_border::Engine as _;
use response::IntoResponse as _;

use crate::engine_orders;

/// Body of an unload order.
#[derive(serde::Deserialize)]
struct Unload {
    fencing: lift_types::FencingToken,
}

type Reply = Result<lift_border::EngineStatus, error_stack::Report<lift_border::EngineError>>;

/// Routes for `lift_border::HttpEngine`, to be merged with the routes that answer requests.
pub fn engine_routes(orders: sync::Arc<engine_orders::EngineOrders>) -> axum::Router {
    axum::Router::new()
        .route("/weights", routing::get(status))
        .route("/weights/load", routing::post(load))
        .route("/weights/unload", routing::post(unload))
        .with_state(orders)
}

async fn status(
    extract::State(orders): extract::State<sync::Arc<engine_orders::EngineOrders>>,
) -> response::Response {
    answer(orders.status().await)
}

async fn load(
    extract::State(orders): extract::State<sync::Arc<engine_orders::EngineOrders>>,
    axum::Json(order): axum::Json<lift_border::LoadOrder>,
) -> response::Response {
    answer(orders.load(order).await)
}

async fn unload(
    extract::State(orders): extract::State<sync::Arc<engine_orders::EngineOrders>>,
    axum::Json(order): axum::Json<Unload>,
) -> response::Response {
    answer(orders.unload(order.fencing).await)
}

fn answer(reply: Reply) -> response::Response {
    match reply {
        Ok(status) => axum::Json(status).into_response(),
        Err(error) => match error.current_context() {
            lift_border::EngineError::Stale { highest } => {
                let body = serde_json::json!({ "highest": highest });
                (http::StatusCode::CONFLICT, axum::Json(body)).into_response()
            }
            lift_border::EngineError::Refused { reason } => {
                (http::StatusCode::UNPROCESSABLE_ENTITY, reason.clone()).into_response()
            }
            lift_border::EngineError::Unreachable => {
                http::StatusCode::SERVICE_UNAVAILABLE.into_response()
            }
        },
    }
}
