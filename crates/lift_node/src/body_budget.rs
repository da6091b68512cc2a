//! Memory of the bodies that operators and backend servers send.

use std::{sync, time};

use axum::{body, extract, middleware, response};

/// Longest body, in bytes. A document with some thousand routes is about 1 MiB.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Time without a byte after which a body is given up, as that of callers in the document.
const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Reads bodies before a router gets their requests, and refuses those that there is no memory
/// for.
#[derive(Clone, Debug)]
pub(crate) struct BodyBudget {
    pub(crate) budget: sync::Arc<lift_listen::ByteBudget>,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) log: slog::Logger,
}

impl BodyBudget {
    /// Adds the limit to a router.
    pub(crate) fn limit(self, router: axum::Router) -> axum::Router {
        router.layer(middleware::from_fn_with_state(self, read_body))
    }

    fn refuse(&self, path: &str, error: lift_listen::BodyError) -> response::Response {
        let (status, reason) = match error {
            lift_listen::BodyError::TooLong => {
                (http::StatusCode::PAYLOAD_TOO_LARGE, "body_too_long")
            }
            lift_listen::BodyError::Overloaded => {
                (http::StatusCode::SERVICE_UNAVAILABLE, "overloaded")
            }
            lift_listen::BodyError::Stalled => (http::StatusCode::REQUEST_TIMEOUT, "body_stalled"),
            lift_listen::BodyError::Broken => (http::StatusCode::BAD_REQUEST, "malformed"),
        };
        self.counters.increment_member("control.refused", reason);
        slog::debug!(self.log, "call refused before it was read"; "path" => path,
            "reason" => reason);
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
    let reader = lift_listen::BodyReader {
        max_bytes: MAX_BODY_BYTES,
        stall_timeout: STALL_TIMEOUT,
    };
    let held = budget.budget.hold(lift_listen::HeldKind::Body);
    match reader.read(&parts.headers, body, held).await {
        Ok(bytes) => {
            let req = extract::Request::from_parts(parts, body::Body::from(bytes));
            next.run(req).await
        }
        Err(error) => budget.refuse(parts.uri.path(), error),
    }
}
