//! Sound backend servers that fall silent for a while.

use std::{hash, hash::Hasher as _, time};

use crate::answer_text;

/// One in so many requests meets a silence.
const RARITY: u64 = 3;

/// Shortest and longest silence, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 300..2_000;

/// Time for which the answer to the request `id` pauses before its event `n`, if it does. The same
/// request always pauses in the same way. A plain answer has one event.
pub(crate) fn before(id: &str, n: u64) -> Option<time::Duration> {
    let mut hasher = hash::DefaultHasher::new();
    hasher.write(id.as_bytes());
    let drawn = hasher.finish();
    let event = drawn / RARITY % answer_text::EVENTS + 1;
    if !drawn.is_multiple_of(RARITY) || event != n {
        return None;
    }
    let length = SILENCE_MS.end - SILENCE_MS.start;
    let more = drawn / RARITY / answer_text::EVENTS % length;
    Some(time::Duration::from_millis(SILENCE_MS.start + more))
}
