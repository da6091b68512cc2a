//! What a play shows.

use std::{collections, time};

/// What a play shows. Times count from the naming.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// When each host held all pieces.
    pub whole: collections::BTreeMap<u32, time::Duration>,
    pub origin_reads: u32,
    /// Most pieces at a host after 1 s and 2 s.
    pub most_held: [usize; 2],
    /// Most connections to the origin at once.
    pub connections: usize,
}

impl Outcome {
    pub fn first(&self) -> time::Duration {
        self.whole
            .values()
            .min()
            .copied()
            .unwrap_or(time::Duration::MAX)
    }

    pub fn last(&self) -> time::Duration {
        self.whole
            .values()
            .max()
            .copied()
            .unwrap_or(time::Duration::MAX)
    }
}
