//! Latencies of one process.

use std::{fmt, time};

use fmt::Write as _;

/// Number of shards. More than the worker threads of a role, so that they seldom meet.
const SHARDS: usize = 8;

/// Upper bounds of the buckets, in milliseconds. They double, so that percentiles are known
/// within a factor of two from one millisecond to a minute.
const BOUNDS_MS: [u64; 17] = [
    1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384, 32_768, 65_536,
];

type Buckets = [u64; BOUNDS_MS.len() + 1];

/// Named histograms of durations, split into shards by name.
#[derive(Debug)]
pub struct Histograms {
    shards: lift_shard::Shards<indexmap::IndexMap<(&'static str, &'static str), Buckets>>,
}

impl Histograms {
    /// Starts with no histogram.
    pub fn new() -> Self {
        Self {
            shards: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
        }
    }

    /// Adds a duration to the histogram `name` of `kind`.
    pub fn record(&self, name: &'static str, kind: &'static str, duration: time::Duration) {
        let ms = duration.as_millis() as u64;
        let bucket = BOUNDS_MS.partition_point(|bound| *bound < ms);
        self.shards.with(&(name, kind), |histograms| {
            histograms.entry((name, kind)).or_default()[bucket] += 1;
        });
    }

    /// All histograms as text: one `NAME.KIND.le_BOUND COUNT` line for each bucket that is
    /// not empty. Counts are not cumulative.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        self.shards.for_each(|histograms| {
            for ((name, kind), buckets) in histograms {
                let bounds = BOUNDS_MS.iter().map(u64::to_string);
                let bounds = bounds.chain([String::from("inf")]);
                for (bound, count) in bounds.zip(buckets).filter(|(_, count)| **count > 0) {
                    let _ = writeln!(text, "{name}.{kind}.le_{bound} {count}");
                }
            }
        });
        text
    }
}

impl Default for Histograms {
    fn default() -> Self {
        Self::new()
    }
}
