//! Memory that a process holds for others.

use std::sync::{self, atomic};

use crate::{held_bytes, held_kind};

/// Part of the budget that one kind may hold, as numerator and denominator. The rest is kept for
/// the other kinds.
const KIND_SHARE: (usize, usize) = (3, 4);

/// Part of a kind's share that large holdings may use together. The rest is kept for small ones.
const LARGE_SHARE: (usize, usize) = (3, 4);

/// Largest holding that counts as small, in bytes. Prompts and answers of ordinary size are below.
pub(crate) const SMALL_BYTES: usize = 64 * 1024;

/// Number of variants of [`held_kind::HeldKind`].
const KINDS: usize = 2;

/// Bytes that a process holds for callers, operators and backend servers together.
#[derive(Debug)]
pub struct ByteBudget {
    bytes: usize,
    held: atomic::AtomicUsize,
    by_kind: [atomic::AtomicUsize; KINDS],
    large_by_kind: [atomic::AtomicUsize; KINDS],
}

impl ByteBudget {
    /// Part of a process's memory that is held for others at most, as numerator and denominator.
    /// The rest is for the process itself, buffers of connections and the system's buffers.
    const MEMORY_SHARE: (usize, usize) = (2, 5);

    /// Budget of a process on the smallest host, which has 128 MB, in bytes.
    pub const DEFAULT_BYTES: usize = 51_200_000;

    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            bytes,
            held: atomic::AtomicUsize::new(0),
            by_kind: Default::default(),
            large_by_kind: Default::default(),
        })
    }

    /// Returns the budget of a process that may use `memory_mb` megabytes.
    pub fn bytes_for(memory_mb: u64) -> usize {
        let bytes = usize::try_from(memory_mb.saturating_mul(1_000_000)).unwrap_or(usize::MAX);
        part(bytes, Self::MEMORY_SHARE)
    }

    /// Starts to count what is held for one request or answer.
    pub fn hold(self: &sync::Arc<Self>, kind: held_kind::HeldKind) -> held_bytes::HeldBytes {
        held_bytes::HeldBytes::new(sync::Arc::clone(self), kind)
    }

    /// Whether over half of what large holdings of `kind` may use is in use.
    pub fn is_short(&self, kind: held_kind::HeldKind) -> bool {
        let large = self.large_by_kind[kind as usize].load(atomic::Ordering::Relaxed);
        large > self.large_limit() / 2
    }

    /// Changes a holding from `before` to `after` bytes, if the shares allow it. Returns whether
    /// they did.
    pub(crate) fn change(&self, kind: held_kind::HeldKind, before: usize, after: usize) -> bool {
        let kind = kind as usize;
        let kind_limit = part(self.bytes, KIND_SHARE);
        if !add(&self.held, after.saturating_sub(before), self.bytes) {
            return false;
        }
        if !add(
            &self.by_kind[kind],
            after.saturating_sub(before),
            kind_limit,
        ) {
            subtract(&self.held, after.saturating_sub(before));
            return false;
        }
        let (large_before, large_after) = (large(before), large(after));
        let more = large_after.saturating_sub(large_before);
        if !add(&self.large_by_kind[kind], more, self.large_limit()) {
            subtract(&self.held, after.saturating_sub(before));
            subtract(&self.by_kind[kind], after.saturating_sub(before));
            return false;
        }
        subtract(&self.held, before.saturating_sub(after));
        subtract(&self.by_kind[kind], before.saturating_sub(after));
        subtract(
            &self.large_by_kind[kind],
            large_before.saturating_sub(large_after),
        );
        true
    }

    fn large_limit(&self) -> usize {
        part(part(self.bytes, KIND_SHARE), LARGE_SHARE)
    }
}

/// Bytes of a holding that count as large.
fn large(held: usize) -> usize {
    if held > SMALL_BYTES { held } else { 0 }
}

fn part(bytes: usize, (numerator, denominator): (usize, usize)) -> usize {
    bytes / denominator * numerator
}

fn add(counter: &atomic::AtomicUsize, more: usize, limit: usize) -> bool {
    let relaxed = atomic::Ordering::Relaxed;
    let is_allowed = |held: usize| held.checked_add(more).filter(|sum| *sum <= limit);
    more == 0 || counter.try_update(relaxed, relaxed, is_allowed).is_ok()
}

fn subtract(counter: &atomic::AtomicUsize, less: usize) {
    counter.fetch_sub(less, atomic::Ordering::Relaxed);
}
