//! Body of an answer that is read completely before it is forwarded.

use crate::{exchange, held_bytes};

/// Reads the body of an answer to its end. `held` counts its bytes.
///
/// # Errors
///
/// Returns [`lift_dispatch::AttemptFailure::Broken`] if the connection broke before the end, and
/// [`lift_dispatch::AttemptFailure::Damaged`] if the answers in progress become too large.
pub(crate) async fn collect(
    exchange: &mut exchange::Exchange,
    mut held: held_bytes::HeldBytes,
) -> Result<bytes::Bytes, lift_dispatch::AttemptFailure> {
    let mut collected = bytes::BytesMut::new();
    while let Some(frame) = exchange.next_frame().await {
        let frame = frame.map_err(|_| lift_dispatch::AttemptFailure::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if !held.grow(data.len()) {
            return Err(lift_dispatch::AttemptFailure::Damaged);
        }
        collected.extend_from_slice(data);
    }
    Ok(collected.freeze())
}
