//! Meaning of HTTP status codes of an origin or weight store.

use std::time;

use crate::origin_error;

/// Header with the time in milliseconds after which to ask again.
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Time after which to ask again where the answer doesn't say.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

impl origin_error::OriginError {
    /// Gives the body of a good answer, or what its status means.
    pub(crate) fn check(
        what: &str,
        reply: http::Response<bytes::Bytes>,
    ) -> Result<bytes::Bytes, error_stack::Report<Self>> {
        if reply.status().is_success() {
            return Ok(reply.into_body());
        }
        Err(error_stack::Report::new(match reply.status() {
            http::StatusCode::NOT_FOUND => Self::Missing {
                what: String::from(what),
            },
            http::StatusCode::TOO_MANY_REQUESTS => Self::Throttled {
                retry_after: retry_after(reply.headers()),
            },
            _ => Self::Unreachable,
        }))
    }
}

fn retry_after(headers: &http::HeaderMap) -> time::Duration {
    let text = headers.get(RETRY_AFTER_MS).and_then(|v| v.to_str().ok());
    text.and_then(|text| text.parse().ok())
        .map_or(RETRY_AFTER, time::Duration::from_millis)
}
