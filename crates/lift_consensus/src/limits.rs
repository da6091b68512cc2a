//! Size limits of the protocol.

/// Limits on messages, snapshots and the in-memory log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the entries in one message, in bytes. A larger entry is sent alone.
    pub append_bytes: usize,
    /// Size of the unacknowledged entries sent to one follower at which the leader stops
    /// sending more, in bytes. Sending 256 KiB takes about 100 ms on a 20 Mbit/s link, so
    /// heartbeats queued behind the entries are not late.
    pub in_flight_bytes: usize,
    /// Maximum number of unacknowledged messages with entries sent to one follower. Proposals
    /// that arrive once this limit is reached are batched into the next message.
    pub in_flight_messages: usize,
    /// Maximum size of one snapshot part, in bytes.
    pub snapshot_part_bytes: usize,
    /// Number of entries applied since the last snapshot that triggers a new one.
    pub snapshot_after_entries: u64,
    /// Size of the in-memory log that triggers a new snapshot, in bytes.
    pub snapshot_after_bytes: usize,
    /// Minimum size of the in-memory log, in percent of the last snapshot's size, for a new
    /// snapshot. Without it a large state would be encoded again after only a few changes.
    pub snapshot_after_percent: usize,
    /// Number of entries covered by the snapshot that stay in memory for slow followers.
    pub keep_entries: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            append_bytes: 64 * 1024,
            in_flight_bytes: 256 * 1024,
            in_flight_messages: 8,
            snapshot_part_bytes: 128 * 1024,
            snapshot_after_entries: 100_000,
            snapshot_after_bytes: 64 * 1024 * 1024,
            snapshot_after_percent: 100,
            keep_entries: 10_000,
        }
    }
}
