//! Replies to callers.

use std::time;

use http_body_util::BodyExt as _;
use rand::RngExt as _;

use crate::{body_error, decline, end_to_end, exchange, shared};

/// Body of a reply.
pub(crate) type Body =
    http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, body_error::BodyError>;

/// Shortest time after which a caller that was refused is asked to come back. A fleet that is
/// full or starts up stays so for a second or two, and callers come back once only.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(1_000);

/// Longest time after which it is asked to come back, so that those that were refused
/// together don't come back together.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_millis(2_000);

/// Passes on an answer that was read whole.
pub(crate) fn whole(
    shared: &shared::Shared,
    exchange: &exchange::Exchange,
    body: bytes::Bytes,
) -> http::Response<Body> {
    let body = http_body_util::Full::new(body).map_err(|never| match never {});
    reply(shared, &exchange.parts, body.boxed_unsync())
}

/// Passes on the head of an answer whose events follow.
pub(crate) fn stream(
    shared: &shared::Shared,
    parts: &http::response::Parts,
    body: Body,
) -> http::Response<Body> {
    reply(shared, parts, body)
}

fn reply(
    shared: &shared::Shared,
    parts: &http::response::Parts,
    body: Body,
) -> http::Response<Body> {
    let mut response = http::Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end::end_to_end(&parts.headers);
    close_if_stopping(shared, &mut response);
    response
}

/// Replies without an answer of a backend server.
pub(crate) fn declined(
    shared: &shared::Shared,
    reason: lift_dispatch::RejectionReason,
    id: Option<String>,
) -> http::Response<Body> {
    shared
        .counters
        .increment_member("decline", <&str>::from(reason));
    let status = reason.http_status();
    let retry_after = (status == 503).then(|| {
        let range = MIN_RETRY_AFTER.as_millis() as u64..=MAX_RETRY_AFTER.as_millis() as u64;
        time::Duration::from_millis(rand::rng().random_range(range))
    });
    let decline = decline::Decline {
        reason,
        id,
        retry_after,
    };
    let text = bytes::Bytes::from(format!("{reason}\n"));
    let body = http_body_util::Full::new(text).map_err(|never| match never {});
    let mut response = http::Response::new(body.boxed_unsync());
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    shared
        .dialect
        .write_decline(response.headers_mut(), &decline);
    close_if_stopping(shared, &mut response);
    response
}

/// Asks the caller to open its next connection elsewhere.
fn close_if_stopping(shared: &shared::Shared, response: &mut http::Response<Body>) {
    if shared.is_stopping() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
}
