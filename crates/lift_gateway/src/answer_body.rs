//! Body of an answer that is read completely before it is forwarded.

use http_body_util::BodyExt as _;

use crate::exchange;

/// Longest body, in bytes.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Reads the body of an answer to its end.
///
/// # Errors
///
/// Returns [`lift_dispatch::AttemptFailure::Broken`] if the connection broke before the end, and
/// [`lift_dispatch::AttemptFailure::Damaged`] if the body is too long.
pub(crate) async fn collect(
    exchange: &mut exchange::Exchange,
) -> Result<bytes::Bytes, lift_dispatch::AttemptFailure> {
    let mut collected = bytes::BytesMut::new();
    while let Some(frame) = exchange.body.frame().await {
        let frame = frame.map_err(|_| lift_dispatch::AttemptFailure::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if collected.len() + data.len() > MAX_BODY_BYTES {
            return Err(lift_dispatch::AttemptFailure::Damaged);
        }
        collected.extend_from_slice(data);
    }
    Ok(collected.freeze())
}
