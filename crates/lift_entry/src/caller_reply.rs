//! Replies to callers.

use axum::response;

use crate::shared;

/// Body of a reply that is not an answer.
#[derive(Clone, Debug, serde::Serialize)]
struct Refusal {
    outcome: &'static str,
    reason: lift_types::RefusalReason,
    repeat: bool,
}

/// Outcome of a reply whose request ran but whose recorded body was too long to keep.
const BODY_NOT_KEPT: &str = r#"{"outcome":"ran","reason":"body_not_kept","repeat":false}"#;

/// Header names that the reply sets itself.
const SET_HERE: [&str; 3] = ["content-length", "transfer-encoding", "connection"];

/// The head of the request could not be read, so its key can't be looked up. A caller that
/// marks a repeat is told that it is in doubt, because the earlier sending may have run.
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

/// The request did not run.
pub(crate) fn not_run(
    shared: &shared::Shared,
    id: lift_types::RequestId,
    reason: lift_types::RefusalReason,
) -> response::Response {
    shared.counters.increment_member("refusal", reason.into());
    outcome(shared, id, "not_run", reason)
}

/// It is not known whether the request ran.
pub(crate) fn in_doubt(
    shared: &shared::Shared,
    id: lift_types::RequestId,
    reason: lift_types::RefusalReason,
) -> response::Response {
    shared.counters.increment_member("in_doubt", reason.into());
    outcome(shared, id, "in_doubt", reason)
}

/// The outcome that was recorded for a claimed request.
pub(crate) fn recorded(
    shared: &shared::Shared,
    id: lift_types::RequestId,
    outcome: lift_state::Outcome,
) -> response::Response {
    let Some(body) = outcome.body else {
        let body = axum::body::Body::from(BODY_NOT_KEPT);
        return build(shared, id, 409, &json_header(), None, body);
    };
    let body = axum::body::Body::from(body);
    build(shared, id, outcome.status, &outcome.headers, None, body)
}

/// An answer with this body.
pub(crate) fn answer(
    shared: &shared::Shared,
    id: lift_types::RequestId,
    head: &lift_border::AnswerHead,
    body: axum::body::Body,
) -> response::Response {
    let version = head.version.as_deref();
    build(shared, id, head.status, &head.headers, version, body)
}

/// Identifier of a request as callers see it.
pub(crate) fn id_text(shared: &shared::Shared, id: lift_types::RequestId) -> String {
    format!("{}-{id:x}", shared.location.host)
}

fn outcome(
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
    build(shared, id, reason.http_status(), &json_header(), None, body)
}

fn json_header() -> Vec<(String, String)> {
    vec![(
        String::from("content-type"),
        String::from("application/json"),
    )]
}

fn build(
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
        if !SET_HERE.contains(&name.as_str()) {
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
