//! Streams for callers that could not see them break off.

use std::sync;

use http_body_util::BodyExt as _;

use crate::{response, shared};

/// Reads a stream to its end and returns it with its length, or a rejection if it broke off.
pub(crate) async fn collect(
    shared: &sync::Arc<shared::Shared>,
    response: http::Response<response::Body>,
    id: String,
) -> http::Response<response::Body> {
    let (parts, mut body) = response.into_parts();
    let mut held = shared.answer_bytes.answer();
    let mut collected = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = frame.ok().and_then(|frame| frame.into_data().ok());
        match data {
            Some(data) if held.grow(data.len()) => collected.extend_from_slice(&data),
            _ => {
                let reason = lift_dispatch::RejectionReason::NoAnswer;
                return response::rejected(shared, reason, Some(id));
            }
        }
    }
    let body = http_body_util::Full::new(collected.freeze()).map_err(|never| match never {});
    http::Response::from_parts(parts, body.boxed_unsync())
}
