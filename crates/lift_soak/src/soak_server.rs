//! A backend server.

use std::{net, sync, time};

use sync::atomic;

use axum::response::IntoResponse as _;
use futures_util::stream;

use crate::{
    answer_text, cast, oracle, process_settings, request_kind, server_calls, server_engine,
    silence, soak_error,
};

/// Requests that one server runs at once.
pub(crate) const SLOTS: u32 = 16;

/// Service of the servers without engines.
pub(crate) const PLAIN_SERVICE: &str = "plain";

/// Time for an answer without a stream.
const WORK: time::Duration = time::Duration::from_millis(15);

/// Time between two events of a stream.
const PACE: time::Duration = time::Duration::from_millis(20);

/// A backend server that runs requests, announces itself and can crash and leave.
#[derive(Debug)]
pub(crate) struct SoakServer {
    text: parking_lot::Mutex<lift_peer::ServerText>,
    pub(crate) engine: Option<parking_lot::Mutex<server_engine::ServerEngine>>,
    pub(crate) oracle: sync::Arc<oracle::Oracle>,
    running: atomic::AtomicU32,
    runs: atomic::AtomicU64,
    starts: atomic::AtomicU64,
    /// Whether it has left and has not come back yet.
    pub(crate) is_gone: atomic::AtomicBool,
    pub(crate) is_leaving: atomic::AtomicBool,
    /// Whether it pauses amid some of its answers.
    pub(crate) may_be_silent: atomic::AtomicBool,
    /// When its leave was acknowledged.
    pub(crate) released_at: parking_lot::Mutex<Option<time::Instant>>,
}

impl SoakServer {
    /// Starts a server on `host`.
    pub(crate) async fn start(
        cast: cast::Cast,
        host: u8,
        oracle: sync::Arc<oracle::Oracle>,
    ) -> Result<sync::Arc<Self>, soak_error::SoakError> {
        let is_engine = cast::Cast::is_agent(host);
        let service = match is_engine {
            true => process_settings::ENGINE_SERVICE,
            false => PLAIN_SERVICE,
        };
        let ends = cast.service(host);
        let text = lift_peer::ServerText {
            id: format!("s{host}-0"),
            service: String::from(service),
            address: ends.public,
            failure_domain: String::from(cast::Cast::server_domain(host)),
            slots: SLOTS,
            born: since_epoch(),
        };
        let server = sync::Arc::new(Self {
            text: parking_lot::Mutex::new(text),
            engine: is_engine.then(parking_lot::Mutex::default),
            oracle,
            running: atomic::AtomicU32::new(0),
            runs: atomic::AtomicU64::new(0),
            starts: atomic::AtomicU64::new(0),
            is_gone: atomic::AtomicBool::new(false),
            is_leaving: atomic::AtomicBool::new(false),
            may_be_silent: atomic::AtomicBool::new(false),
            released_at: parking_lot::Mutex::default(),
        });
        listen(ends.own, server_calls::router(sync::Arc::clone(&server))).await?;
        Ok(server)
    }

    /// How the server presents itself at present.
    pub(crate) fn text(&self) -> lift_peer::ServerText {
        self.text.lock().clone()
    }

    pub(crate) fn running(&self) -> u32 {
        self.running.load(atomic::Ordering::Relaxed)
    }

    /// Requests that it has run.
    pub(crate) fn runs(&self) -> u64 {
        self.runs.load(atomic::Ordering::Relaxed)
    }

    /// Version of the weights that is loaded.
    pub(crate) fn version(&self) -> u64 {
        self.engine
            .as_ref()
            .map_or(0, |engine| engine.lock().version)
    }

    /// Starts anew under another identifier, with empty memory.
    pub(crate) fn restart(&self) {
        let start = self.starts.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        if let Some(engine) = &self.engine {
            engine.lock().crash();
        }
        let mut text = self.text.lock();
        let host = text.id.split('-').next().unwrap_or_default();
        text.id = format!("{host}-{start}");
        text.born = since_epoch();
        *self.released_at.lock() = None;
        self.is_leaving.store(false, atomic::Ordering::Relaxed);
        self.is_gone.store(false, atomic::Ordering::Relaxed);
    }

    /// Runs a request, or says that it does not.
    pub(crate) async fn call(
        self: sync::Arc<Self>,
        req: axum::extract::Request,
    ) -> axum::response::Response {
        let head = lift_peer::CallHead::read(req.headers());
        let text = self.text();
        let id = head.id.clone().unwrap_or_default();
        let refuse = |status: http::StatusCode| {
            let reply = text.not_run(&id, http::Response::builder().status(status));
            whole(reply, String::new())
        };
        let Some(kind) = request_kind::RequestKind::of_path(req.uri().path()) else {
            return refuse(http::StatusCode::BAD_REQUEST);
        };
        let version = self.version();
        let is_other = head
            .server
            .as_ref()
            .is_some_and(|wanted| *wanted != text.id)
            || head.weights.is_some_and(|wanted| wanted != version);
        if is_other {
            return refuse(http::StatusCode::MISDIRECTED_REQUEST);
        }
        let is_loading = self
            .engine
            .as_ref()
            .is_some_and(|e| e.lock().loading.is_some());
        let is_stream = kind == request_kind::RequestKind::Stream;
        let has_no_weights = is_stream && (version == 0 || is_loading);
        if has_no_weights || self.running() >= SLOTS || self.is_gone.load(atomic::Ordering::Relaxed)
        {
            return refuse(http::StatusCode::SERVICE_UNAVAILABLE);
        }
        if head.has_key || head.workspace.is_none() {
            self.oracle
                .violate(format!("{id} carries a key or no workspace"));
        }
        self.oracle.run(&id, kind);
        self.oracle.arrive(&id, &text.failure_domain);
        if is_stream && self.engine.as_ref().is_some_and(|e| e.lock().is_rotten) {
            self.oracle
                .violate(format!("{id} is written on weights with a spoilt piece"));
        }
        let place = Place::take(sync::Arc::clone(&self));
        // Only its first run pauses, so that each answer is complete in time.
        let is_steady =
            !self.may_be_silent.load(atomic::Ordering::Relaxed) || self.oracle.runs(&id) > 1;
        let weights = is_stream.then_some(version);
        let reply = text.answer(
            &id,
            &answer_text::seal(&id),
            weights,
            http::Response::builder(),
        );
        if !is_stream {
            let silence = silence::before(&id, 1).filter(|_| !is_steady);
            tokio::time::sleep(WORK + silence.unwrap_or_default()).await;
            drop(place);
            return whole(reply, answer_text::body(&id));
        }
        let first = head.last_event + 1;
        let events = stream::unfold((first, place), move |(n, place)| {
            let event = answer_text::event(&id, n, version);
            let silence = silence::before(&id, n).filter(|_| !is_steady);
            async move {
                if n > answer_text::EVENTS {
                    return None;
                }
                tokio::time::sleep(PACE + silence.unwrap_or_default()).await;
                Some((Ok::<_, std::convert::Infallible>(event), (n + 1, place)))
            }
        });
        let reply = reply.header(http::header::CONTENT_TYPE, "text/event-stream");
        let body = axum::body::Body::from_stream(events);
        reply.body(body).unwrap_or_else(|e| server_fault(&e))
    }
}

/// Counts a running request.
#[derive(Debug)]
struct Place(sync::Arc<SoakServer>);

impl Place {
    fn take(server: sync::Arc<SoakServer>) -> Self {
        server.runs.fetch_add(1, atomic::Ordering::Relaxed);
        server.running.fetch_add(1, atomic::Ordering::Relaxed);
        Self(server)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

fn whole(reply: http::response::Builder, body: String) -> axum::response::Response {
    reply
        .body(axum::body::Body::from(body))
        .unwrap_or_else(|e| server_fault(&e))
}

fn server_fault(error: &http::Error) -> axum::response::Response {
    let status = http::StatusCode::INTERNAL_SERVER_ERROR;
    (status, error.to_string()).into_response()
}

pub(crate) fn since_epoch() -> time::Duration {
    let since = time::SystemTime::now().duration_since(time::SystemTime::UNIX_EPOCH);
    since.unwrap_or_default()
}

/// Serves `router` at `address` until the runtime ends.
pub(crate) async fn listen(
    address: net::SocketAddr,
    router: axum::Router,
) -> Result<(), soak_error::SoakError> {
    let listener = tokio::net::TcpListener::bind(address).await;
    let listener = listener.map_err(|e| soak_error::SoakError::Io("stand-in", e))?;
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}
