//! The origin of the weights.

use std::sync::{self, atomic};

use axum::{extract, response::IntoResponse as _, routing};

use crate::{query, soak_error, soak_server, soak_weights};

/// Hands out manifests and pieces, and spoils or refuses them when it is told.
#[derive(Debug, Default)]
pub(crate) struct SoakOrigin {
    pub(crate) is_down: atomic::AtomicBool,
    pub(crate) is_spoilt: atomic::AtomicBool,
}

impl SoakOrigin {
    /// Listens until the runtime ends.
    pub(crate) async fn start(
        self: sync::Arc<Self>,
        address: std::net::SocketAddr,
    ) -> Result<(), soak_error::SoakError> {
        let router = axum::Router::new()
            .route(
                &format!("{}{{model}}", lift_peer::paths::MANIFEST),
                routing::get(manifest),
            )
            .route(
                &format!("{}{{model}}", lift_peer::paths::PIECE),
                routing::get(piece),
            )
            .with_state(self);
        soak_server::listen(address, router).await
    }
}

async fn manifest(
    extract::State(origin): extract::State<sync::Arc<SoakOrigin>>,
    extract::Path(model): extract::Path<String>,
    query: query::Query,
) -> axum::response::Response {
    let version = query::number::<u64>(&query, lift_peer::paths::VERSION_QUERY);
    let (false, Some(version)) = (origin.is_down.load(atomic::Ordering::Relaxed), version) else {
        return http::StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let digests = soak_weights::digests(version);
    let bytes = soak_weights::PIECE_BYTES;
    axum::Json(lift_peer::ServerText::manifest(
        &model, version, bytes, &digests,
    ))
    .into_response()
}

async fn piece(
    extract::State(origin): extract::State<sync::Arc<SoakOrigin>>,
    query: query::Query,
) -> axum::response::Response {
    let version = query::number::<u64>(&query, lift_peer::paths::VERSION_QUERY);
    let index = query::number::<u64>(&query, lift_peer::paths::PIECE_QUERY);
    let (Some(version), Some(index)) = (version, index) else {
        return http::StatusCode::BAD_REQUEST.into_response();
    };
    if origin.is_down.load(atomic::Ordering::Relaxed) {
        return http::StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let is_spoilt = origin.is_spoilt.load(atomic::Ordering::Relaxed);
    let version = version + u64::from(is_spoilt);
    soak_weights::piece(version, index as usize).into_response()
}
