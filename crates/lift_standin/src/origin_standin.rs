//! Stand-in of the origin of weights.

use std::{net as std_net, sync};

use axum::{extract, response, routing};
use response::IntoResponse as _;
use sync::atomic;
use tokio::net;
use tokio_util::sync as util_sync;

use crate::origin_fault;

/// An HTTP origin on loopback that serves manifests and byte ranges, counts what it sends
/// and can be given a fault.
#[derive(Debug)]
pub struct OriginStandin {
    state: sync::Arc<State>,
    local_addr: std_net::SocketAddr,
    stop: util_sync::CancellationToken,
}

#[derive(Debug, Default)]
struct State {
    versions: parking_lot::Mutex<indexmap::IndexMap<lift_types::VersionId, Weights>>,
    fault: parking_lot::Mutex<origin_fault::OriginFault>,
    bytes_read: atomic::AtomicU64,
    reads: atomic::AtomicU64,
}

#[derive(Clone, Debug)]
struct Weights {
    manifest: sync::Arc<lift_types::Manifest>,
    bytes: bytes::Bytes,
}

impl OriginStandin {
    /// Starts without any version.
    ///
    /// # Errors
    ///
    /// Returns an error where no port can be opened.
    pub async fn start() -> std::io::Result<Self> {
        let state = sync::Arc::new(State::default());
        let app = axum::Router::new()
            .route("/versions/{version}/manifest", routing::get(manifest))
            .route("/versions/{version}/weights", routing::get(weights))
            .with_state(state.clone());
        let listener = net::TcpListener::bind("127.0.0.1:0").await?;
        let local_addr = listener.local_addr()?;
        let stop = util_sync::CancellationToken::new();
        let until = stop.clone().cancelled_owned();
        tokio::spawn(async move {
            tokio::select! {
                _ = axum::serve(listener, app) => {}
                () = until => {}
            }
        });
        Ok(Self {
            state,
            local_addr,
            stop,
        })
    }

    /// Adds a version and returns its manifest.
    pub fn publish(
        &self,
        version: &str,
        bytes: bytes::Bytes,
        chunk_size: u32,
    ) -> lift_types::Manifest {
        let manifest = lift_types::Manifest::of(String::from(version), &bytes, chunk_size);
        let weights = Weights {
            manifest: sync::Arc::new(manifest.clone()),
            bytes,
        };
        let mut versions = self.state.versions.lock();
        versions.insert(String::from(version), weights);
        manifest
    }

    /// Sets the fault of later reads.
    pub fn set_fault(&self, fault: origin_fault::OriginFault) {
        *self.state.fault.lock() = fault;
    }

    /// Bytes of weights that were sent.
    pub fn bytes_read(&self) -> u64 {
        self.state.bytes_read.load(atomic::Ordering::Relaxed)
    }

    /// Address of the port.
    pub fn local_addr(&self) -> std_net::SocketAddr {
        self.local_addr
    }

    /// Start of the origin's URLs.
    pub fn base(&self) -> String {
        format!("http://{}", self.local_addr)
    }
}

impl Drop for OriginStandin {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn manifest(
    extract::State(state): extract::State<sync::Arc<State>>,
    extract::Path(version): extract::Path<String>,
) -> response::Response {
    let found = state.versions.lock().get(&version).cloned();
    match found {
        Some(weights) => axum::Json(weights.manifest.as_ref()).into_response(),
        None => http::StatusCode::NOT_FOUND.into_response(),
    }
}

async fn weights(
    extract::State(state): extract::State<sync::Arc<State>>,
    extract::Path(version): extract::Path<String>,
    headers: http::HeaderMap,
) -> response::Response {
    let found = state.versions.lock().get(&version).cloned();
    let Some(weights) = found else {
        return http::StatusCode::NOT_FOUND.into_response();
    };
    let Some(range) = range_of(&headers, weights.bytes.len()) else {
        return http::StatusCode::RANGE_NOT_SATISFIABLE.into_response();
    };
    let part = weights.bytes.slice(range);
    let number = state.reads.fetch_add(1, atomic::Ordering::Relaxed);
    let fault = *state.fault.lock();
    let part = match fault {
        origin_fault::OriginFault::None => part,
        origin_fault::OriginFault::Corrupt { one_in } if number % one_in.max(1) == 0 => {
            changed(&part)
        }
        origin_fault::OriginFault::Corrupt { .. } => part,
        origin_fault::OriginFault::Stall => std::future::pending().await,
        origin_fault::OriginFault::Die => {
            return http::StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
    };
    let length = part.len() as u64;
    state
        .bytes_read
        .fetch_add(length, atomic::Ordering::Relaxed);
    (http::StatusCode::PARTIAL_CONTENT, part).into_response()
}

fn changed(part: &bytes::Bytes) -> bytes::Bytes {
    let mut buf = part.to_vec();
    if let Some(byte) = buf.first_mut() {
        *byte ^= 1;
    }
    bytes::Bytes::from(buf)
}

/// Reads a header such as `bytes=0-99`.
fn range_of(headers: &http::HeaderMap, length: usize) -> Option<std::ops::Range<usize>> {
    let text = headers.get(http::header::RANGE)?.to_str().ok()?;
    let (first, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    let range = first.parse().ok()?..last.parse::<usize>().ok()? + 1;
    (range.start < range.end && range.end <= length).then_some(range)
}
