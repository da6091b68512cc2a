//! HTTP server for callers.

use std::{convert, sync, time};

use http_body_util::BodyExt as _;
use hyper_util::{rt, server};
use rand::RngExt as _;

use crate::{caller_head, end_to_end, reply, request_run, shared};

/// Pause after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Time for which bytes to a caller may stay without acknowledgement.
const UNACKNOWLEDGED: time::Duration = time::Duration::from_secs(4);

/// Longest time for which a caller is kept waiting that names no deadline, before the time-out
/// of its route is known.
const DEFAULT_PATIENCE: time::Duration = time::Duration::from_secs(60);

/// Least buffer for the head of a request, in bytes, which the HTTP library demands.
const MIN_BUFFER: usize = 8 * 1024;

type Shared = sync::Arc<shared::Shared>;
type Response = http::Response<reply::Body>;

/// Accepts connections until `closing`, then ends idle ones and waits for requests in
/// progress.
pub(crate) async fn serve(
    shared: Shared,
    listener: tokio::net::TcpListener,
    closing: tokio_util::sync::CancellationToken,
) {
    let graceful = server::graceful::GracefulShutdown::new();
    let places = sync::Arc::new(tokio::sync::Semaphore::new(shared.limits.max_connections));
    loop {
        let accept = async {
            let place = sync::Arc::clone(&places).acquire_owned().await;
            (place, listener.accept().await)
        };
        let Some((place, accepted)) = closing.run_until_cancelled(accept).await else {
            break;
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = graceful.watch(connection(&shared, stream));
        tokio::spawn(async move {
            let _place = place;
            // The caller sees the end of the connection; nobody else needs the error.
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connection(
    shared: &Shared,
    stream: tokio::net::TcpStream,
) -> impl server::graceful::GracefulConnection<Error = hyper::Error> + Send + 'static {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
    let table = shared.fleet.table();
    let limits = table.map(|t| *t.limits()).unwrap_or_default();
    let shared = sync::Arc::clone(shared);
    let service = hyper::service::service_fn(move |req| {
        let shared = sync::Arc::clone(&shared);
        async move { Ok::<_, convert::Infallible>(handle(shared, req).await) }
    });
    // The library counts the time to read a head from the end of the last request on, so this
    // is the time for which a connection may be idle.
    hyper::server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER))
        .serve_connection(rt::TokioIo::new(stream), service)
}

async fn handle(shared: Shared, req: http::Request<hyper::body::Incoming>) -> Response {
    let started = lift_clock::now();
    shared.counters.increment("gateway.requests");
    let (parts, body) = req.into_parts();
    let head = match shared.dialect.read_request(&parts) {
        Ok(head) => head,
        Err(error) => {
            shared.log.decision(|log| {
                slog::info!(log, "request unreadable"; "error" => %error);
            });
            return reply::declined(&shared, lift_dispatch::RejectionReason::Malformed, None);
        }
    };
    let id = head.id.clone();
    match prepare(&shared, started, head, parts, body).await {
        Ok(run) => run.run().await,
        Err(reason) => {
            let age = shared.fleet.confirmation_age(lift_clock::now());
            shared.log.decision(|log| {
                slog::info!(log, "request declined"; "request" => &id, "reason" => %reason,
                    "confirmed_age_ms" => age.map(|a| a.as_millis() as u64));
            });
            reply::declined(&shared, reason, Some(id))
        }
    }
}

/// Finds the route and the workspace and reads the body.
async fn prepare(
    shared: &Shared,
    started: time::Instant,
    head: caller_head::CallerHead,
    parts: http::request::Parts,
    body: hyper::body::Incoming,
) -> Result<request_run::RequestRun, lift_dispatch::RejectionReason> {
    let table = shared.fleet.table();
    let table = table.ok_or(lift_dispatch::RejectionReason::NoConfiguration)?;
    if !shared.is_confirmed(started) {
        return Err(lift_dispatch::RejectionReason::Unconfirmed);
    }
    let host = host(&parts).ok_or(lift_dispatch::RejectionReason::Malformed)?;
    let route = table.find(host, parts.uri.path());
    let route = sync::Arc::clone(route.ok_or(lift_dispatch::RejectionReason::NoRoute)?);
    let workspace = workspace(&table, &route, &head)?;
    let patience = head.patience.unwrap_or(DEFAULT_PATIENCE).min(route.timeout);
    let deadline = started + patience;
    let body = read_body(&table, body, deadline).await?;
    let draw = rand::rng().random();
    let service = route.choose_service(draw).cloned();
    let service = service.ok_or(lift_dispatch::RejectionReason::NoRoute)?;
    let need = lift_dispatch::WeightsRequirement {
        model: head.model.clone(),
        ..lift_dispatch::WeightsRequirement::default()
    };
    Ok(request_run::RequestRun {
        shared: sync::Arc::clone(shared),
        head,
        route,
        service,
        workspace,
        method: parts.method,
        uri: parts.uri,
        headers: end_to_end::end_to_end(&parts.headers),
        body,
        started,
        deadline,
        need,
        document: table.version(),
        tried: Vec::new(),
        arrived: 0,
        unsent: 0,
        has_run: false,
    })
}

/// Host name that the request is for, without a port.
fn host(parts: &http::request::Parts) -> Option<&str> {
    let named = match parts.uri.host() {
        Some(host) => host,
        None => parts.headers.get(http::header::HOST)?.to_str().ok()?,
    };
    Some(named.split(':').next().unwrap_or(named))
}

/// Workspace of the caller. An open route needs no key, and a key that it gets is not judged.
fn workspace(
    table: &lift_fleet::RoutingTable,
    route: &lift_fleet::Route,
    head: &caller_head::CallerHead,
) -> Result<Option<lift_types::WorkspaceId>, lift_dispatch::RejectionReason> {
    if !table.is_key_required() {
        return Ok(None);
    }
    let found = head.key.as_deref().and_then(|key| table.workspace(key));
    match found {
        Some(workspace) => Ok(Some(workspace.clone())),
        None if route.is_auth_exempt => Ok(None),
        None => Err(lift_dispatch::RejectionReason::UnknownKey),
    }
}

async fn read_body(
    table: &lift_fleet::RoutingTable,
    body: hyper::body::Incoming,
    deadline: time::Instant,
) -> Result<bytes::Bytes, lift_dispatch::RejectionReason> {
    let limit = table.limits().body_bytes;
    let reading = http_body_util::Limited::new(body, limit).collect();
    let left = deadline.saturating_duration_since(lift_clock::now());
    match tokio::time::timeout(left, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(lift_dispatch::RejectionReason::BodyTooLong)
        }
        Ok(Err(_)) => Err(lift_dispatch::RejectionReason::Malformed),
        Err(_) => Err(lift_dispatch::RejectionReason::LateUnsent),
    }
}
