//! HTTP server for callers.

use std::{sync, time};

use rand::RngExt as _;

use crate::{caller_connection, caller_head, end_to_end, request_run, response, shared};

/// Timeout of a request whose caller specifies none. The timeout of the route limits it further.
const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(60);

type Shared = sync::Arc<shared::Shared>;
type Response = http::Response<response::Body>;

/// Accepts connections until `draining` is cancelled, then closes idle connections and waits for
/// the requests in progress.
pub(crate) async fn serve(
    shared: Shared,
    listener: tokio::net::TcpListener,
    draining: tokio_util::sync::CancellationToken,
) {
    let idle = lift_listen::IdleConnections::new(
        "callers",
        shared.limits.max_connections,
        sync::Arc::clone(&shared.counters),
        shared.log.logger().clone(),
    );
    let limit = idle.accept_limit();
    let handler = sync::Arc::new(caller_connection::CallerConnections { shared, idle });
    lift_listen::serve(listener, limit, handler, draining).await;
}

/// Answers one request.
pub(crate) async fn handle(shared: Shared, req: http::Request<hyper::body::Incoming>) -> Response {
    let started = lift_clock::now();
    shared.counters.increment("gateway.requests");
    let (parts, body) = req.into_parts();
    let head = match shared.dialect.read_request(&parts) {
        Ok(head) => head,
        Err(error) => {
            shared.log.write_limited(|log| {
                slog::info!(log, "request malformed"; "error" => %error);
            });
            return response::rejected(&shared, lift_dispatch::RejectionReason::Malformed, None);
        }
    };
    let id = head.id.clone();
    match prepare(&shared, started, head, parts, body).await {
        Ok(run) => run_until_given_up(&shared, id, run).await,
        Err(reason) => {
            let age = shared.fleet.confirmation_age(lift_clock::now());
            shared.log.write_limited(|log| {
                slog::info!(log, "request declined"; "request" => &id, "reason" => %reason,
                    "confirmed_age_ms" => age.map(|a| a.as_millis() as u64));
            });
            response::rejected(&shared, reason, Some(id))
        }
    }
}

/// Runs a request. If a graceful stop ends first, its caller gets an answer nevertheless.
async fn run_until_given_up(shared: &Shared, id: String, run: request_run::RequestRun) -> Response {
    let answered = shared.giving_up.run_until_cancelled(run.run()).await;
    answered.unwrap_or_else(|| {
        shared.log.write_limited(|log| {
            slog::info!(log, "request given up at the end of a stop"; "request" => &id);
        });
        let reason = lift_dispatch::RejectionReason::NoAnswer;
        response::rejected(shared, reason, Some(id))
    })
}

/// Finds the route and the workspace, reads the body and chooses the service.
async fn prepare(
    shared: &Shared,
    started: time::Instant,
    mut head: caller_head::CallerHead,
    parts: http::request::Parts,
    body: hyper::body::Incoming,
) -> Result<request_run::RequestRun, lift_dispatch::RejectionReason> {
    let table = shared.fleet.table();
    let table = table.ok_or(lift_dispatch::RejectionReason::NoConfiguration)?;
    if !shared.is_confirmed(started) {
        return Err(lift_dispatch::RejectionReason::Unconfirmed);
    }
    let is_part = |part: &String| !lift_fleet::RequestDigest::is_digest(part);
    head.parts.retain(is_part);
    let host = host(&parts).ok_or(lift_dispatch::RejectionReason::Malformed)?;
    let denial = |reason| shared.denial_reason(reason);
    let route = table.find(host, parts.uri.path());
    let route = route.ok_or(lift_dispatch::RejectionReason::NoRoute);
    let route = sync::Arc::clone(route.map_err(denial)?);
    let workspace = workspace(&table, &route, &head).map_err(denial)?;
    let allowed_regions = table.allowed_regions(&route, workspace.as_deref());
    let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let deadline = started + timeout;
    let reading = read_body(shared, &table, &parts.headers, body, deadline);
    // A stop that ends meanwhile refuses the request, of which nothing was sent on.
    let body = shared.giving_up.run_until_cancelled(reading).await;
    let body = body.unwrap_or(Err(lift_dispatch::RejectionReason::Stopping))?;
    if !shared.can_end_before_stop(deadline) {
        return Err(lift_dispatch::RejectionReason::Stopping);
    }
    let draw = rand::rng().random();
    let service = route.choose_service(draw).cloned();
    let service = service.ok_or(lift_dispatch::RejectionReason::NoRoute)?;
    let weights_requirement = lift_dispatch::WeightsRequirement {
        model: head.model.clone(),
        ..lift_dispatch::WeightsRequirement::default()
    };
    let terms = workspace
        .as_deref()
        .and_then(|id| table.workspace_terms(id));
    let priority = terms.and_then(|terms| terms.priority);
    let rank = lift_dispatch::RequestRank::new(route.priority, priority);
    Ok(request_run::RequestRun {
        rank: shared.fleet.rank(&service, rank),
        admission: lift_dispatch::Admission::default(),
        shared: sync::Arc::clone(shared),
        head,
        route,
        service,
        workspace,
        allowed_regions,
        method: parts.method,
        can_see_breaks: parts.version >= http::Version::HTTP_11,
        uri: parts.uri,
        headers: end_to_end::copy_headers(&parts.headers),
        body,
        digest: sync::OnceLock::new(),
        started,
        deadline,
        weights_requirement,
        document_version: table.version(),
        tried: Vec::new(),
        servers_reached: 0,
        unsent_attempts: 0,
        may_have_run: false,
    })
}

/// Host name from the URI or the `Host` header, without the port.
fn host(parts: &http::request::Parts) -> Option<&str> {
    let authority = match parts.uri.host() {
        Some(host) => host,
        None => parts.headers.get(http::header::HOST)?.to_str().ok()?,
    };
    Some(authority.split(':').next().unwrap_or(authority))
}

/// Workspace of the caller. `None` if the configuration requires no keys. On a route that needs no
/// key, an unknown key is ignored.
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

/// Reads a body within the limits of the configuration and the memory that is left.
async fn read_body(
    shared: &shared::Shared,
    table: &lift_fleet::RoutingTable,
    headers: &http::HeaderMap,
    body: hyper::body::Incoming,
    deadline: time::Instant,
) -> Result<bytes::Bytes, lift_dispatch::RejectionReason> {
    let limits = table.limits();
    let reader = lift_listen::BodyReader {
        max_bytes: limits.body_bytes,
        stall_timeout: limits.idle_timeout,
    };
    let held = shared.budget.hold(lift_listen::HeldKind::Body);
    let reading = reader.read(headers, body, held);
    let left = deadline.saturating_duration_since(lift_clock::now());
    match tokio::time::timeout(left, reading).await {
        Ok(read) => read.map_err(rejection_reason),
        Err(_) => Err(lift_dispatch::RejectionReason::LateUnsent),
    }
}

fn rejection_reason(error: lift_listen::BodyError) -> lift_dispatch::RejectionReason {
    match error {
        lift_listen::BodyError::TooLong => lift_dispatch::RejectionReason::BodyTooLong,
        lift_listen::BodyError::Overloaded => lift_dispatch::RejectionReason::Overloaded,
        lift_listen::BodyError::Stalled => lift_dispatch::RejectionReason::BodyStalled,
        lift_listen::BodyError::Broken => lift_dispatch::RejectionReason::Malformed,
    }
}
