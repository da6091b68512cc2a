//! Counters of one process.

use std::{borrow, fmt};

use fmt::Write as _;

/// Number of shards. More than the worker threads of a role, so that they seldom meet.
const SHARDS: usize = 32;

type Name = borrow::Cow<'static, str>;

/// Named counters, split into shards by name. They only grow, except those that are set.
#[derive(Debug)]
pub struct Counters {
    shards: lift_shard::Shards<indexmap::IndexMap<Name, u64>>,
}

impl Counters {
    /// Starts with no counter.
    pub fn new() -> Self {
        Self {
            shards: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
        }
    }

    /// Adds one to the counter `name`.
    pub fn increment(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds `amount` to the counter `name`.
    pub fn add(&self, name: &'static str, amount: u64) {
        self.shards.with(name, |counts| {
            *counts.entry(Name::Borrowed(name)).or_default() += amount
        });
    }

    /// Sets the counter `name`, for a number that also falls.
    pub fn set(&self, name: &'static str, value: u64) {
        self.shards.with(name, |counts| {
            counts.insert(Name::Borrowed(name), value);
        });
    }

    /// Adds one to the counter `GROUP.MEMBER`, for the members of an enum.
    pub fn increment_member(&self, group: &str, member: &str) {
        let name = format!("{group}.{member}");
        self.shards.with(name.as_str(), |counts| {
            *counts.entry(Name::Owned(name.clone())).or_default() += 1;
        });
    }

    /// Value of the counter `name`, zero where it was never counted.
    pub fn value(&self, name: &str) -> u64 {
        self.shards
            .with(name, |counts| counts.get(name).copied().unwrap_or_default())
    }

    /// All counters, sorted by name.
    pub fn snapshot(&self) -> indexmap::IndexMap<String, u64> {
        let mut all = indexmap::IndexMap::new();
        self.shards.for_each(|counts| {
            all.extend(
                counts
                    .iter()
                    .map(|(name, value)| (name.to_string(), *value)),
            );
        });
        all.sort_keys();
        all
    }

    /// All counters as text, one `name value` pair on each line.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.snapshot() {
            let _ = writeln!(text, "{name} {value}");
        }
        text
    }
}

impl Default for Counters {
    fn default() -> Self {
        Self::new()
    }
}
