//! A container that splits state into shards, each under its own lock.
//!
//! [`Shards`] holds state that the threads of a role share: a key selects a shard, and a
//! short closure reads or changes that shard under its lock. Threads that work on
//! different shards don't wait for each other. The closure can't await, so a lock is
//! never held across an await. `docs/design.md`, section 11.1, has the reasons.

mod shards;

pub use shards::Shards;
