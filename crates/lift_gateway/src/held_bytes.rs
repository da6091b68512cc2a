//! Bytes of one answer that is held until it is complete.

use std::sync;

use crate::byte_budget;

/// Bytes of one answer that are granted however full the budget is, so that a few large or endless
/// answers don't fail the small ones. With the largest number of connections they stay far below
/// the memory of a small host.
const GRANTED_ANSWER_BYTES: usize = 16 * 1024;

/// Bytes of one answer. They return to the budget when it is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    budget: sync::Arc<byte_budget::ByteBudget>,
    held: usize,
    /// Part of `held` that was taken from the budget.
    charged: usize,
}

impl HeldBytes {
    /// Starts to count an answer that holds nothing yet.
    pub(crate) fn new(budget: sync::Arc<byte_budget::ByteBudget>) -> Self {
        Self {
            budget,
            held: 0,
            charged: 0,
        }
    }

    /// Counts `more` bytes of the answer. Returns `false` if the answer must not grow so far.
    pub(crate) fn grow(&mut self, more: usize) -> bool {
        let held = self.held + more;
        let charged = held.saturating_sub(GRANTED_ANSWER_BYTES);
        if !self.budget.take(charged - self.charged) {
            return false;
        }
        self.held = held;
        self.charged = charged;
        true
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.give_back(self.charged);
    }
}
