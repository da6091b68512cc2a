//! Memory of the bodies that operators and backend servers send.

use std::{sync, time};

use axum::{body, extract, middleware, response};

use crate::{body_error, body_reader, byte_budget, held_kind};

/// Time without a byte after which a body is given up, as that of callers in the document.
const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Reads bodies before a router gets their requests, and refuses those that there is no memory
/// for.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    name: &'static str,
    max_bytes: usize,
    budget: sync::Arc<byte_budget::ByteBudget>,
    counters: sync::Arc<lift_obs::Counters>,
    log: slog::Logger,
}

impl BodyBudget {
    /// Limits bodies to `max_bytes` each, and all of them to `budget`. `name` is the subject of
    /// the counter `NAME.refused.REASON`.
    pub fn new(
        name: &'static str,
        max_bytes: usize,
        budget: sync::Arc<byte_budget::ByteBudget>,
        counters: sync::Arc<lift_obs::Counters>,
        log: slog::Logger,
    ) -> Self {
        Self {
            name,
            max_bytes,
            budget,
            counters,
            log,
        }
    }

    /// Adds the limit to a router.
    pub fn limit(self, router: axum::Router) -> axum::Router {
        router.layer(middleware::from_fn_with_state(self, read_body))
    }

    fn refuse(&self, path: &str, error: body_error::BodyError) -> response::Response {
        let (status, reason) = match error {
            body_error::BodyError::TooLong => {
                (http::StatusCode::PAYLOAD_TOO_LARGE, "body_too_long")
            }
            body_error::BodyError::Overloaded => {
                (http::StatusCode::SERVICE_UNAVAILABLE, "overloaded")
            }
            body_error::BodyError::Stalled => (http::StatusCode::REQUEST_TIMEOUT, "body_stalled"),
            body_error::BodyError::Broken => (http::StatusCode::BAD_REQUEST, "malformed"),
        };
        let counter = format!("{}.refused", self.name);
        self.counters.increment_member(&counter, reason);
        slog::debug!(self.log, "call refused before it was read"; "listener" => self.name,
            "path" => path, "reason" => reason);
        let headers = [
            (http::header::CONNECTION, "close"),
            (http::header::RETRY_AFTER, "1"),
        ];
        response::IntoResponse::into_response((status, headers, format!("{reason}\n")))
    }
}

async fn read_body(
    extract::State(budget): extract::State<BodyBudget>,
    req: extract::Request,
    next: middleware::Next,
) -> response::Response {
    let (parts, body) = req.into_parts();
    let reader = body_reader::BodyReader {
        max_bytes: budget.max_bytes,
        stall_timeout: STALL_TIMEOUT,
    };
    let held = budget.budget.hold(held_kind::HeldKind::Body);
    match reader.read(&parts.headers, body, held).await {
        Ok(bytes) => {
            let req = extract::Request::from_parts(parts, body::Body::from(bytes));
            next.run(req).await
        }
        Err(error) => budget.refuse(parts.uri.path(), error),
    }
}
