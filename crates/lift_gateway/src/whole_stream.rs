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
    let held = shared.budget.hold(lift_listen::HeldKind::Answer);
    let mut buf = lift_listen::HeldBuffer::new(held, usize::MAX);
    while let Some(frame) = body.frame().await {
        let data = frame.ok().and_then(|frame| frame.into_data().ok());
        match data {
            Some(data) if buf.push(&data) => {}
            _ => {
                let reason = lift_dispatch::RejectionReason::NoAnswer;
                return response::rejected(shared, reason, Some(id));
            }
        }
    }
    let body = http_body_util::Full::new(buf.finish()).map_err(|never| match never {});
    http::Response::from_parts(parts, body.boxed_unsync())
}
