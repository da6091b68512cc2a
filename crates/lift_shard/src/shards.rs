//! State split into shards.

use std::hash;

use hash::Hasher as _;
use xxhash_rust::xxh3;

/// A fixed number of values of `T`, each under its own lock.
///
/// ```
/// let counts = lift_shard::Shards::new(8, |_| 0_u64);
/// counts.with("assistant", |count| *count += 1);
/// assert_eq!(counts.fold(0, |sum, count| sum + *count), 1);
/// ```
#[derive(Debug)]
pub struct Shards<T> {
    shards: Box<[parking_lot::Mutex<T>]>,
}

impl<T> Shards<T> {
    /// Makes `count` shards, at least one, from their positions.
    pub fn new(count: usize, make: impl FnMut(usize) -> T) -> Self {
        let shards = (0..count.max(1))
            .map(make)
            .map(parking_lot::Mutex::new)
            .collect();
        Self { shards }
    }

    /// Number of shards.
    pub fn count(&self) -> usize {
        self.shards.len()
    }

    /// Position of the shard that holds `key`. It is the same in every process.
    pub fn position<K: hash::Hash + ?Sized>(&self, key: &K) -> usize {
        let mut hasher = xxh3::Xxh3Default::new();
        hash::Hash::hash(key, &mut hasher);
        (hasher.finish() % self.shards.len() as u64) as usize
    }

    /// Calls `f` with the shard of `key` under its lock.
    pub fn with<K: hash::Hash + ?Sized, R>(&self, key: &K, f: impl FnOnce(&mut T) -> R) -> R {
        self.with_position(self.position(key), f)
    }

    /// Calls `f` with the shard at `position` under its lock. Positions wrap around.
    pub fn with_position<R>(&self, position: usize, f: impl FnOnce(&mut T) -> R) -> R {
        f(&mut self.shards[position % self.shards.len()].lock())
    }

    /// Calls `f` with each shard in turn. One lock is held at a time, so this is not a
    /// consistent view of all shards.
    pub fn for_each(&self, mut f: impl FnMut(&mut T)) {
        for shard in &self.shards {
            f(&mut shard.lock());
        }
    }

    /// Folds over the shards, one lock at a time.
    pub fn fold<R>(&self, initial: R, mut f: impl FnMut(R, &mut T) -> R) -> R {
        self.shards
            .iter()
            .fold(initial, |acc, shard| f(acc, &mut shard.lock()))
    }
}
