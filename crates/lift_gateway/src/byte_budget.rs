//! Memory of the answers that are held until they are complete.

use std::sync::{self, atomic};

/// Bytes of one answer that are granted however full the budget is, so that a few large or endless
/// answers don't fail the small ones. With the largest number of connections they stay far below
/// the memory of a small host.
const GRANTED_ANSWER_BYTES: usize = 16 * 1024;

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
    pub(crate) fn answer(self: &sync::Arc<Self>) -> HeldBytes {
        HeldBytes {
            budget: sync::Arc::clone(self),
            held: 0,
            charged: 0,
        }
    }
}

/// Bytes of one answer. They return to the budget when it is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    budget: sync::Arc<ByteBudget>,
    held: usize,
    /// Part of `held` that was taken from the budget.
    charged: usize,
}

impl HeldBytes {
    /// Counts `more` bytes of the answer. Returns `false` if the answer must not grow so far.
    pub(crate) fn grow(&mut self, more: usize) -> bool {
        let held = self.held + more;
        let charged = held.saturating_sub(GRANTED_ANSWER_BYTES);
        let added = charged - self.charged;
        let relaxed = atomic::Ordering::Relaxed;
        let taken = self
            .budget
            .left
            .try_update(relaxed, relaxed, |left| left.checked_sub(added));
        if taken.is_ok() {
            self.held = held;
            self.charged = charged;
        }
        taken.is_ok()
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget
            .left
            .fetch_add(self.charged, atomic::Ordering::Relaxed);
    }
}
