//! Responses to callers.

use std::time;

use http_body_util::BodyExt as _;
use rand::RngExt as _;

use crate::{body_error, end_to_end, exchange, rejection, shared};

/// Body of a response to a caller.
pub(crate) type Body =
    http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, body_error::BodyError>;

/// Shortest time after which a rejected caller is asked to retry. A fleet that is full or starting
/// stays so for a second or two, and callers retry only once.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(1_000);

/// Longest time after which a rejected caller is asked to retry. The times are spread so that
/// callers that were rejected together don't retry together.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_millis(2_000);

/// Forwards an answer whose body was read to its end.
pub(crate) fn complete(
    shared: &shared::Shared,
    exchange: &exchange::Exchange,
    body: bytes::Bytes,
) -> http::Response<Body> {
    let body = http_body_util::Full::new(body).map_err(|never| match never {});
    forward_response(shared, &exchange.parts, body.boxed_unsync())
}

/// Forwards the head of an answer whose events follow in `body`.
pub(crate) fn stream(
    shared: &shared::Shared,
    parts: &http::response::Parts,
    body: Body,
) -> http::Response<Body> {
    forward_response(shared, parts, body)
}

fn forward_response(
    shared: &shared::Shared,
    parts: &http::response::Parts,
    body: Body,
) -> http::Response<Body> {
    let mut response = http::Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end::copy_headers(&parts.headers);
    close_if_stopping(shared, &mut response);
    response
}

/// Rejects a request, and counts the rejection. The caller is asked to retry soon if the request
/// has not run.
pub(crate) fn rejected(
    shared: &shared::Shared,
    reason: lift_dispatch::RejectionReason,
    id: Option<String>,
) -> http::Response<Body> {
    let range = MIN_RETRY_AFTER.as_millis() as u64..=MAX_RETRY_AFTER.as_millis() as u64;
    let retry_after = time::Duration::from_millis(rand::rng().random_range(range));
    rejected_for(shared, reason, id, retry_after)
}

/// Rejects a request, and counts the rejection. If the request has not run, the caller is asked to
/// retry after `retry_after`.
pub(crate) fn rejected_for(
    shared: &shared::Shared,
    reason: lift_dispatch::RejectionReason,
    id: Option<String>,
    retry_after: time::Duration,
) -> http::Response<Body> {
    shared
        .counters
        .increment_member("decline", <&str>::from(reason));
    let status = reason.http_status();
    let rejection = rejection::Rejection {
        reason,
        id,
        retry_after: (status == 503).then_some(retry_after),
    };
    let text = bytes::Bytes::from(format!("{reason}\n"));
    let body = http_body_util::Full::new(text).map_err(|never| match never {});
    let mut response = http::Response::new(body.boxed_unsync());
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    shared
        .dialect
        .write_rejection(response.headers_mut(), &rejection);
    close_if_stopping(shared, &mut response);
    if is_body_unread(reason) {
        close(&mut response);
    }
    response
}

/// Whether a rejection leaves the body of its request unread, so that the connection can't be used
/// again.
fn is_body_unread(reason: lift_dispatch::RejectionReason) -> bool {
    matches!(
        reason,
        lift_dispatch::RejectionReason::BodyTooLong
            | lift_dispatch::RejectionReason::BodyStalled
            | lift_dispatch::RejectionReason::Overloaded
    )
}

/// Asks the caller to close the connection if the gateway is stopping.
fn close_if_stopping(shared: &shared::Shared, response: &mut http::Response<Body>) {
    if shared.is_stopping() {
        close(response);
    }
}

fn close(response: &mut http::Response<Body>) {
    let close = http::HeaderValue::from_static("close");
    response
        .headers_mut()
        .insert(http::header::CONNECTION, close);
}
