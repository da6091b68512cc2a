//! Durable log, snapshots and the disk trait.
