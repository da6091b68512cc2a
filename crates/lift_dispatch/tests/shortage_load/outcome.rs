//! What callers got.

use super::{caller, tally};

/// Milliseconds for which a load is played.
pub(crate) const LENGTH_MS: u64 = 18_000;

/// Number of workspaces.
pub(crate) const WORKSPACES: usize = 24;

/// Callers that were sent before this time do not count, in milliseconds.
const WARM_UP_MS: u64 = 3_000;

/// Length of a slice of time, in milliseconds.
const SLICE_MS: u64 = 1_000;

/// What callers got.
pub(crate) struct Outcome {
    pub(crate) kinds: Vec<tally::Tally>,
    pub(crate) workspaces: Vec<tally::Tally>,
    /// The largest tenth and the fifth below it, by kind.
    pub(crate) sizes: Vec<[tally::Tally; 2]>,
    /// By kind, for each second.
    pub(crate) slices: Vec<Vec<tally::Tally>>,
    /// First attempts refused while under half of the places were taken and nothing waited.
    pub(crate) needless: usize,
}

impl Outcome {
    pub(crate) fn new(kinds: usize) -> Self {
        let slices = (LENGTH_MS / SLICE_MS) as usize;
        Self {
            kinds: vec![tally::Tally::default(); kinds],
            workspaces: vec![tally::Tally::default(); WORKSPACES],
            sizes: vec![[tally::Tally::default(); 2]; kinds],
            slices: vec![vec![tally::Tally::default(); slices]; kinds],
            needless: 0,
        }
    }

    /// Counts what a caller got.
    pub(crate) fn count(&mut self, caller: &caller::Caller, update: impl Fn(&mut tally::Tally)) {
        let slice = (caller.sent_ms / SLICE_MS) as usize;
        update(&mut self.slices[caller.kind][slice]);
        if caller.sent_ms < WARM_UP_MS {
            return;
        }
        update(&mut self.kinds[caller.kind]);
        update(&mut self.workspaces[caller.workspace]);
        if caller.size >= caller::LARGEST_TENTH {
            update(&mut self.sizes[caller.kind][0]);
        } else if caller.size >= caller::LARGE {
            update(&mut self.sizes[caller.kind][1]);
        }
    }
}
