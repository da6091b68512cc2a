//! Body of an answer that is read completely before it is forwarded.

use crate::exchange;

/// Longest answer that is read completely, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Reads the body of an answer to its end. `held` counts its memory, until the answer has been
/// sent to the caller.
///
/// # Errors
///
/// Returns [`lift_dispatch::AttemptFailure::Broken`] if the connection broke before the end, and
/// [`lift_dispatch::AttemptFailure::Damaged`] if the answers in progress become too large.
pub(crate) async fn collect(
    exchange: &mut exchange::Exchange,
    held: lift_listen::HeldBytes,
) -> Result<bytes::Bytes, lift_dispatch::AttemptFailure> {
    let limit = exchange.announced_bytes().unwrap_or(MAX_ANSWER_BYTES);
    let mut buf = lift_listen::HeldBuffer::new(held, limit.min(MAX_ANSWER_BYTES));
    while let Some(frame) = exchange.next_frame().await {
        let frame = frame.map_err(|_| lift_dispatch::AttemptFailure::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if !buf.push(data) {
            return Err(lift_dispatch::AttemptFailure::Damaged);
        }
    }
    Ok(buf.finish())
}
