//! Bytes that are held for one request or answer.

use std::sync;

use crate::{byte_budget, held_kind};

/// Bytes of one request or answer. They return to the budget when it is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: sync::Arc<byte_budget::ByteBudget>,
    kind: held_kind::HeldKind,
    held: usize,
}

impl HeldBytes {
    pub(crate) fn new(
        budget: sync::Arc<byte_budget::ByteBudget>,
        kind: held_kind::HeldKind,
    ) -> Self {
        Self {
            budget,
            kind,
            held: 0,
        }
    }

    /// Counts `bytes` in all. Returns `false` if so many must not be held; the count is then as
    /// before.
    #[must_use]
    pub fn set(&mut self, bytes: usize) -> bool {
        let is_allowed = self.budget.change(self.kind, self.held, bytes);
        if is_allowed {
            self.held = bytes;
        }
        is_allowed
    }

    /// Whether the budget is short and this holding is a large one.
    pub fn may_be_dropped(&self) -> bool {
        self.held > byte_budget::SMALL_BYTES && self.budget.is_short(self.kind)
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.change(self.kind, self.held, 0);
    }
}
