//! Memory of the answers that are held until they are complete.

use std::sync::{self, atomic};

use crate::held_bytes;

/// Bytes that all answers in progress may hold together.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    left: atomic::AtomicUsize,
}

impl ByteBudget {
    pub(crate) fn new(bytes: usize) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            left: atomic::AtomicUsize::new(bytes),
        })
    }

    /// Starts to count one answer.
    pub(crate) fn answer(self: &sync::Arc<Self>) -> held_bytes::HeldBytes {
        held_bytes::HeldBytes::new(sync::Arc::clone(self))
    }

    /// Takes `bytes`, if so many are left. Returns whether they were.
    pub(crate) fn take(&self, bytes: usize) -> bool {
        let relaxed = atomic::Ordering::Relaxed;
        let taken = self
            .left
            .try_update(relaxed, relaxed, |left| left.checked_sub(bytes));
        taken.is_ok()
    }

    /// Returns `bytes` that were taken.
    pub(crate) fn give_back(&self, bytes: usize) {
        self.left.fetch_add(bytes, atomic::Ordering::Relaxed);
    }
}
