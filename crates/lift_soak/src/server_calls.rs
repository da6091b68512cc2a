//! What a backend server answers.

use std::{sync, time};

use axum::{extract, response::IntoResponse as _, routing};

use crate::{query, soak_server, soak_weights};

/// Time in which an engine loads weights.
const LOAD: time::Duration = time::Duration::from_millis(300);

type Server = extract::State<sync::Arc<soak_server::SoakServer>>;

/// Routes of a backend server. Requests of callers are all others.
pub(crate) fn router(server: sync::Arc<soak_server::SoakServer>) -> axum::Router {
    axum::Router::new()
        .route(lift_peer::paths::REPORT, routing::get(report))
        .route(lift_peer::paths::ORDER, routing::post(order))
        .route(
            &format!("{}{{model}}", lift_peer::paths::STAGE_PUT),
            routing::put(put),
        )
        .route(
            &format!("{}{{model}}", lift_peer::paths::STAGE_GET),
            routing::get(get),
        )
        .fallback(|extract::State(server): Server, req: extract::Request| server.call(req))
        .with_state(server)
}

async fn report(extract::State(server): Server) -> axum::response::Response {
    let (weights, is_busy) = match &server.engine {
        Some(engine) => {
            let engine = engine.lock();
            (engine.weights(), engine.loading.is_some())
        }
        None => (None, false),
    };
    let running = server.running();
    axum::Json(lift_peer::ServerText::report(weights, is_busy, running)).into_response()
}

async fn order(extract::State(server): Server, body: bytes::Bytes) -> http::StatusCode {
    let (Some(order), Some(engine)) = (lift_peer::OrderText::read(&body), &server.engine) else {
        return http::StatusCode::BAD_REQUEST;
    };
    let id = server.text().id;
    {
        let mut engine = engine.lock();
        if engine.version == order.version {
            return http::StatusCode::OK;
        }
        if engine.loading.is_some() {
            return http::StatusCode::CONFLICT;
        }
        engine.is_rotten = !engine.holds(order.version);
        if engine.is_rotten {
            let what = format!(
                "{id} is to load version {} with wrong pieces",
                order.version
            );
            server.oracle.violate(what);
        }
        engine.loading = Some(order.version);
    }
    let loading = sync::Arc::clone(&server);
    tokio::spawn(async move {
        tokio::time::sleep(LOAD).await;
        let is_same_start = loading.text().id == id;
        if let Some(engine) = loading.engine.as_ref().filter(|_| is_same_start) {
            let mut engine = engine.lock();
            engine.version = order.version;
            engine.loading = None;
        }
    });
    http::StatusCode::ACCEPTED
}

async fn put(
    extract::State(server): Server,
    query: query::Query,
    body: bytes::Bytes,
) -> http::StatusCode {
    let (Some(engine), Some(index)) = (
        &server.engine,
        query::number::<usize>(&query, lift_peer::paths::PIECE_QUERY),
    ) else {
        return http::StatusCode::BAD_REQUEST;
    };
    if index >= soak_weights::PIECES {
        return http::StatusCode::BAD_REQUEST;
    }
    engine.lock().put(index, body);
    http::StatusCode::OK
}

async fn get(extract::State(server): Server, query: query::Query) -> axum::response::Response {
    let Some(engine) = &server.engine else {
        return http::StatusCode::NOT_FOUND.into_response();
    };
    let Some(index) = query::number::<usize>(&query, lift_peer::paths::PIECE_QUERY) else {
        let held: Vec<usize> = engine.lock().staged.keys().copied().collect();
        return axum::Json(serde_json::json!({ "held": held })).into_response();
    };
    let (piece, read_time) = {
        let mut engine = engine.lock();
        (engine.read(index), engine.read_time)
    };
    if !read_time.is_zero() {
        tokio::time::sleep(read_time).await;
    }
    match piece {
        Some(piece) => piece.into_response(),
        None => http::StatusCode::NOT_FOUND.into_response(),
    }
}
