//! Replies to callers.

use std::time;

use axum::response;

use crate::shared;

/// JSON body of a reply without an answer.
#[derive(Clone, Debug, serde::Serialize)]
struct Refusal {
    outcome: &'static str,
    reason: lift_types::RefusalReason,
    repeat: bool,
}

/// Body of the reply to a request that ran but whose answer was too long to be recorded.
const BODY_NOT_KEPT: &str = r#"{"outcome":"ran","reason":"body_not_kept","repeat":false}"#;

/// Time after which a caller that was refused for a lack of memory or of places may come back, in
/// seconds.
const RETRY_AFTER_S: &str = "1";

/// Headers that the HTTP server sets itself.
const RESERVED_HEADERS: [&str; 3] = ["content-length", "transfer-encoding", "connection"];

/// Builds the reply to a request that is refused because of its head. Its key is not looked up,
/// because the head may lack a valid one. The outcome is "in doubt" if the caller marks the request
/// as a repeat, because an earlier submission may have run, and "not run" otherwise.
pub(crate) fn refused_head(
    shared: &shared::Shared,
    id: lift_types::RequestId,
    headers: &http::HeaderMap,
    reason: lift_types::RefusalReason,
) -> response::Response {
    if headers.contains_key(crate::REPEAT_HEADER) {
        return in_doubt(shared, id, reason);
    }
    not_run(shared, id, reason)
}

/// Builds the reply to a request that did not run.
pub(crate) fn not_run(
    shared: &shared::Shared,
    id: lift_types::RequestId,
    reason: lift_types::RefusalReason,
) -> response::Response {
    shared.counters.increment_member("refusal", reason.into());
    refusal(shared, id, "not_run", reason)
}

/// Builds the reply to a request that may or may not have run.
pub(crate) fn in_doubt(
    shared: &shared::Shared,
    id: lift_types::RequestId,
    reason: lift_types::RefusalReason,
) -> response::Response {
    shared.counters.increment_member("in_doubt", reason.into());
    refusal(shared, id, "in_doubt", reason)
}

/// Builds the reply to a claimed request from its recorded outcome.
pub(crate) fn recorded(
    shared: &shared::Shared,
    id: lift_types::RequestId,
    outcome: lift_state::Outcome,
) -> response::Response {
    let Some(body) = outcome.body else {
        let body = axum::body::Body::from(BODY_NOT_KEPT);
        return build_response(shared, id, 409, &json_header(), None, body);
    };
    let body = axum::body::Body::from(body);
    build_response(shared, id, outcome.status, &outcome.headers, None, body)
}

/// Builds the reply for an answer with the given head and body.
pub(crate) fn answer(
    shared: &shared::Shared,
    id: lift_types::RequestId,
    head: &lift_border::AnswerHead,
    body: axum::body::Body,
) -> response::Response {
    let version = head.version.as_deref();
    build_response(shared, id, head.status, &head.headers, version, body)
}

/// Adds the time after which the caller may come back, in whole seconds.
pub(crate) fn with_retry_after(
    mut reply: response::Response,
    time_left: time::Duration,
) -> response::Response {
    let seconds = time_left.as_secs() + 1;
    reply
        .headers_mut()
        .insert(http::header::RETRY_AFTER, seconds.into());
    reply
}

/// Returns the request id that is sent to callers. It includes the host, because entries number
/// their requests independently.
pub(crate) fn id_text(shared: &shared::Shared, id: lift_types::RequestId) -> String {
    format!("{}-{id:x}", shared.location.host)
}

fn refusal(
    shared: &shared::Shared,
    id: lift_types::RequestId,
    outcome: &'static str,
    reason: lift_types::RefusalReason,
) -> response::Response {
    let refusal = Refusal {
        outcome,
        reason,
        repeat: reason.is_retryable(),
    };
    let body = serde_json::to_vec(&refusal).unwrap_or_default();
    let body = axum::body::Body::from(body);
    let mut headers = json_header();
    if reason == lift_types::RefusalReason::Overloaded {
        headers.push((String::from("retry-after"), String::from(RETRY_AFTER_S)));
    }
    build_response(shared, id, reason.http_status(), &headers, None, body)
}

fn json_header() -> Vec<(String, String)> {
    vec![(
        String::from("content-type"),
        String::from("application/json"),
    )]
}

fn build_response(
    shared: &shared::Shared,
    id: lift_types::RequestId,
    status: u16,
    headers: &[(String, String)],
    version: Option<&str>,
    body: axum::body::Body,
) -> response::Response {
    let mut builder = http::Response::builder()
        .status(status)
        .header(lift_border::REQUEST_ID_HEADER, id_text(shared, id));
    for (name, value) in headers {
        if !RESERVED_HEADERS.contains(&name.as_str()) {
            builder = builder.header(name, value);
        }
    }
    if let Some(version) = version {
        builder = builder.header(lift_border::VERSION_HEADER, version);
    }
    builder
        .body(body)
        .unwrap_or_else(|_| response::IntoResponse::into_response(http::StatusCode::BAD_GATEWAY))
}
